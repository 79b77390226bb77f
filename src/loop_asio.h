// The Asio side of Loop. Included by socket code only, since Asio headers are slow to compile.

#ifndef PLANTAIN_LOOP_ASIO_H_
#define PLANTAIN_LOOP_ASIO_H_

// Boost 1.74's Asio uses std::exchange without including <utility>.
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <memory>

#include "loop.h"

namespace plantain {

struct Loop::Impl {
  boost::asio::io_context context{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard{context.get_executor()};
  std::unique_ptr<boost::asio::signal_set> signals;
  std::unique_ptr<boost::asio::signal_set> hangups;
};

}  // namespace plantain

#endif  // PLANTAIN_LOOP_ASIO_H_
