// What every process of the product shares: command line, settings, loops and their threads, graceful stop.

#ifndef PLANTAIN_PROCESS_H_
#define PLANTAIN_PROCESS_H_

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "caller_memory.h"
#include "channel.h"
#include "clock.h"
#include "event_log.h"
#include "kernel.h"
#include "loop.h"
#include "memory_budget.h"
#include "metrics.h"
#include "random.h"
#include "settings_type.h"

namespace plantain {

// A service that finishes work in progress before the process stops.
class Drainable {
 public:
  virtual ~Drainable() = default;

  // Stops taking new work and calls `done` on the control thread once nothing is in progress. Called on the control
  // thread.
  virtual void BeginDrain(std::function<void()> done) = 0;
};

// Objects that most services need. Handed to factories, which pass on what each constructor asks for.
//
// Start and Stop of all services run on the main thread while no loop runs. In between, the control loop runs on the
// main thread and each other loop on a thread of its own.
struct ProcessParts {
  explicit ProcessParts(Settings settings_in);

  // Values in force. A reload replaces them; what a service has taken from them at its start stays.
  Settings settings;
  SystemClock clock;
  SeededRandom random;
  Metrics metrics;
  RequestHistory history;
  // Bounds what the answers being received hold together.
  MemoryBudget answer_memory;
  // Bound what connections to the ports on each traffic loop, and on the control loop, make this process hold. The
  // parts are fixed, so that no loop needs to shed connections of another.
  std::vector<std::shared_ptr<CallerMemory>> traffic_caller_memory;
  std::shared_ptr<CallerMemory> control_caller_memory;
  ChannelContext channels;
  Loop control_loop;
  // One for each traffic thread.
  std::vector<std::unique_ptr<Loop>> traffic_loops;
  // Runs chunk transfer in agents.
  Loop transfer_loop;
  VmId vm;
  ZoneName zone;
  IpAddress address;
  // Start time of this process.
  Incarnation incarnation;
};

// Registers the services of one program.
using ServiceRegistrar = std::function<void(Kernel&, ProcessParts&)>;

// How a program runs on one platform.
struct ProgramVariant {
  // Value of `--platform`; the first variant is the default.
  std::string platform;
  SettingsTable table;
  ServiceRegistrar register_services;
};

// Runs a program: reads the command line (`--settings`, `--platform`, `--check-settings`, `--print-settings`,
// `--help`), builds the services, runs until SIGTERM, drains and stops. SIGHUP, or a change of the settings file, makes
// it read the settings again: a file that does not pass the check is refused and the values in force stay. Returns the
// exit code: 0 after a graceful stop, 1 if a service failed to start, 2 for a wrong command line or wrong settings.
int RunProcess(int argc, char** argv, const std::string& program, const std::vector<ProgramVariant>& variants);

// Ends the process after RunProcess without destroying static objects: log4cplus joins its own threads there, which
// does not return on every machine, and a process that has stopped must end.
[[noreturn]] void EndProcess(int exit_code);

}  // namespace plantain

#endif  // PLANTAIN_PROCESS_H_
