// The micro-kernel: services registered by name, built by factories, started in order and stopped in reverse.

#ifndef PLANTAIN_KERNEL_H_
#define PLANTAIN_KERNEL_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"

namespace plantain {

// A part of a process with a life cycle. Dependencies come through the constructor.
class Service {
 public:
  virtual ~Service() = default;

  // Begins work. Called once, after all services that it was built from have started.
  virtual absl::Status Start() = 0;

  // Ends work and releases threads and sockets. Called once, before the services that it was built from stop.
  virtual void Stop() = 0;
};

// Holds the services of one process. Factories ask it by name for what they pass to constructors, which keeps both
// "found by name" and "dependencies through the constructor".
class Kernel {
 public:
  using Factory = std::function<std::unique_ptr<Service>(Kernel&)>;

  // Registers how to build a service. The service is built when it is first asked for or at Start.
  void Register(const std::string& name, Factory factory);

  // Returns the service of this name, building it if needed. Asking for an unknown name, or for another type than
  // the service has, is a programming error and ends the process.
  template <typename T>
  T& Get(const std::string& name) {
    T* service = dynamic_cast<T*>(&GetService(name));
    if (service == nullptr) FailLookup(name, "has another type");
    return *service;
  }

  // Returns all services that also implement interface T, in the order in which they were built.
  template <typename T>
  std::vector<T*> FindAll() const {
    std::vector<T*> found;
    for (Service* service : m_built) {
      if (T* match = dynamic_cast<T*>(service)) found.push_back(match);
    }
    return found;
  }

  // Builds all services and starts them in the order in which they were built. If one fails, those already started
  // are stopped and its status is returned.
  absl::Status Start();

  // Stops all started services in reverse order.
  void Stop();

 private:
  Service& GetService(const std::string& name);
  [[noreturn]] static void FailLookup(const std::string& name, std::string_view reason);

  std::vector<std::string> m_names;
  std::map<std::string, Factory> m_factories;
  std::map<std::string, std::unique_ptr<Service>> m_services;
  // In the order in which construction finished, which is a valid order of dependency.
  std::vector<Service*> m_built;
  size_t m_started = 0;
};

}  // namespace plantain

#endif  // PLANTAIN_KERNEL_H_
