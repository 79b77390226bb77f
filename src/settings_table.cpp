// The settings tables of all programs. docs/CONFIGURATION.md is generated from them.

#include <array>

#include "settings_func.h"

namespace plantain {
namespace {

using enum SettingKind;

constexpr double kMaxPort = 65535;
constexpr double kHourMs = 3'600'000;
constexpr double kMaxBytes = 64.0 * 1024 * 1024 * 1024;
constexpr double kMaxRate = 1e12;

// Rows that entries and agents share.
constexpr SettingRow kCommonRows[] = {
    {"vm.id", kText, "", 0, 0, "", "Id of this VM in the platform's VM list."},
    {"vm.zone", kText, "", 0, 0, "", "Availability zone of this VM."},
    {"vm.address", kAddress, "", 0, 0, "", "IP address that this process listens on."},
    {"vm.memory_mb", kInteger, "1024", 16, 1e6, "MB",
     "Memory that this process may use. Answers being received hold at most an eighth of it together, callers' "
     "connections a quarter, and connections to the other HTTP ports an eighth."},
    {"log.level", kText, "info", 0, 0, "", "Lowest log level written: debug, info, warn or error."},
    {"traffic.threads", kInteger, "1", 1, 64, "threads", "Threads that process requests."},
    {"admin.port", kInteger, "8081", 1, kMaxPort, "port", "Port of health, metrics and status over HTTP."},
    {"peer.port", kInteger, "7400", 1, kMaxPort, "port", "Port for messages between processes."},
    {"peer.seeds", kList, "", 0, 0, "", "Addresses of VMs to ask before the VM list is known, own zone first."},
    {"peer.period_ms", kDuration, "500", 10, kHourMs, "ms", "Time between two rounds of gossip."},
    {"peer.suspect_ms", kDuration, "3000", 100, kHourMs, "ms", "Silence after which a member is suspected."},
    {"peer.dead_ms", kDuration, "10000", 100, kHourMs, "ms", "Silence after which a member counts as dead."},
    {"peer.key", kText, "", 0, 0, "",
     "Secret shared by all processes of the fleet; authenticates a document and its position in the log."},
    {"platform.log_address", kAddress, "", 0, 0, "", "IP address of the platform's log."},
    {"platform.log_port", kInteger, "9100", 1, kMaxPort, "port", "Port of the platform's log."},
    {"platform.vms_address", kAddress, "", 0, 0, "", "IP address of the platform's VM list."},
    {"platform.vms_port", kInteger, "9300", 1, kMaxPort, "port", "Port of the platform's VM list."},
    {"platform.vms_period_ms", kDuration, "1000", 50, kHourMs, "ms", "Time between two reads of the VM list."},
    {"platform.timeout_ms", kDuration, "3000", 50, kHourMs, "ms", "Time allowed for one call to the platform."},
    {"config.poll_ms", kDuration, "1000", 10, kHourMs, "ms", "Longest wait of one read of the log."},
    {"config.retention_ms", kDuration, "3600000", 1000, 1e12, "ms", "Time for which the log keeps records."},
    {"config.rare_read_ms", kDuration, "600000", 100, kHourMs, "ms",
     "Agents: mean time between two reads of the log while peers are reachable."},
    {"config.lone_read_ms", kDuration, "5000", 100, kHourMs, "ms",
     "Agents: mean time between two reads of the log without peers or without a document."},
};

constexpr SettingRow kEntryOnlyRows[] = {
    {"http.port", kInteger, "8080", 1, kMaxPort, "port", "Port for callers."},
    {"http.max_body_bytes", kBytes, "1048576", 1024, kMaxBytes, "bytes", "Largest request body accepted."},
    {"attempt.port", kInteger, "7401", 1, kMaxPort, "port", "Port on which agents accept attempts."},
    {"request.deadline_ms", kDuration, "30000", 10, kHourMs, "ms", "Deadline of requests that name none."},
    {"retry.budget_share", kNumber, "0.1", 0, 1, "share", "Retries allowed as a share of first attempts."},
    {"retry.max_attempts", kInteger, "3", 1, 10, "attempts", "Attempts for one request, the first included."},
    {"drain.limit_ms", kDuration, "60000", 0, kHourMs, "ms", "Longest wait for requests in progress at a stop."},
    {"drain.notice_ms", kDuration, "500", 0, kHourMs, "ms",
     "Time between /readyz reporting not ready and the end of admission, so that the balancer can react."},
    {"retry.reserve", kNumber, "10", 0, 10000, "retries", "Retries accumulated beyond the share of first attempts."},
    {"resume.reserve", kNumber, "100", 0, 10000, "retries",
     "Resumptions of interrupted streams accumulated beyond the share of first attempts."},
    {"attempt.first_ms", kDuration, "15000", 10, kHourMs, "ms",
     "Time without an endpoint's first reply after which another endpoint is asked too."},
    {"attempt.silence_ms", kDuration, "2000", 10, kHourMs, "ms",
     "Time without data from an endpoint during a stream after which another endpoint is asked too."},
    {"route.spill", kInteger, "64", 0, 65536, "requests",
     "Requests in progress at once in other zones, for each traffic thread."},
    {"route.load_cap", kNumber, "1.25", 1, 100, "share",
     "Largest recent work of an endpoint relative to its zone's mean when requests follow prompt prefixes."},
    {"route.prefixes", kInteger, "100000", 1, 1e9, "prefixes", "Prompt prefixes remembered by each traffic thread."},
    {"join.keep_ms", kDuration, "30000", 0, kHourMs, "ms", "Time for which a complete answer is kept for retries."},
    {"join.max_bytes", kBytes, "16777216", 0, kMaxBytes, "bytes", "Memory for complete answers kept for retries."},
    {"http.max_unsent_bytes", kBytes, "4194304", 1024, kMaxBytes, "bytes",
     "Most bytes buffered for a caller that reads its stream slowly; above it the connection is closed."},
};

constexpr SettingRow kAgentOnlyRows[] = {
    {"vm.pool", kText, "", 0, 0, "", "Pool of this VM in the platform's VM list."},
    {"attempt.port", kInteger, "7401", 1, kMaxPort, "port", "Port on which this agent accepts attempts."},
    {"transfer.port", kInteger, "7402", 1, kMaxPort, "port", "Port for chunk transfer between agents."},
    {"engine.kind", kText, "engine", 0, 0, "", "What runs on this VM: engine or service."},
    {"engine.service", kText, "none", 0, 0, "", "Name of the plain service, if engine.kind is service."},
    {"engine.address", kAddress, "", 0, 0, "", "IP address of the local engine or plain service."},
    {"engine.port", kInteger, "9000", 1, kMaxPort, "port", "Port of the local engine or plain service."},
    {"engine.poll_ms", kDuration, "200", 10, kHourMs, "ms", "Time between two reads of the engine's status."},
    {"engine.fences", kFlag, "true", 0, 0, "", "Whether the engine refuses orders with an old fencing token."},
    {"engine.settle_ms", kDuration, "2000", 0, kHourMs, "ms",
     "Wait after an order whose response was lost, for engines that ignore fencing tokens."},
    {"engine.notice_ms", kDuration, "400", 0, kHourMs, "ms",
     "Time between the announcement that weights stop serving for a swap and the end of admission."},
    {"admission.cold_limit", kInteger, "1", 1, 4096, "requests", "Requests admitted at once in cold start."},
    {"admission.max_limit", kInteger, "64", 1, 65536, "requests", "Largest concurrency limit."},
    {"admission.queue", kInteger, "32", 0, 65536, "requests", "Requests that may wait for admission."},
    {"platform.origin_address", kAddress, "", 0, 0, "", "IP address of the weight store and origin."},
    {"platform.origin_port", kInteger, "9200", 1, kMaxPort, "port", "Port of the weight store and origin."},
    {"transfer.cache_bytes", kBytes, "268435456", 1048576, kMaxBytes, "bytes",
     "Most bytes of chunks kept in memory for peers."},
    {"transfer.up_rate", kRate, "125000000", 1024, kMaxRate, "bytes/s", "Rate limit of chunks sent on this VM's link."},
    {"transfer.down_rate", kRate, "125000000", 1024, kMaxRate, "bytes/s",
     "Rate limit of chunks received on this VM's link."},
    {"transfer.shared_rate", kRate, "2500000", 1024, kMaxRate, "bytes/s", "Rate limit of chunks sent to other zones."},
    {"transfer.hedge_ms", kDuration, "1000", 10, kHourMs, "ms",
     "Time without progress before another owner takes over the download."},
    {"transfer.exchange", kFlag, "true", 0, 0, "",
     "Whether agents exchange chunks; if false each one downloads all chunks from the origin."},
    {"drain.limit_ms", kDuration, "60000", 0, kHourMs, "ms", "Longest wait for requests in progress at a stop."},
    {"admission.relearn_ms", kDuration, "60000", 1000, kHourMs, "ms",
     "Time after which an engine that reports itself warm but stays slow gets a new latency baseline."},
    {"once.batch_ms", kDuration, "20", 1, 1000, "ms", "Time between two appends of claims and outcomes."},
    {"once.poll_ms", kDuration, "500", 10, 60000, "ms", "Longest wait of one read of stream once."},
    {"once.wait_ms", kDuration, "3000", 100, kHourMs, "ms",
     "Longest wait of a caller for the log to show a claim or another holder's outcome."},
    {"once.claim_limit_ms", kDuration, "60000", 1000, kHourMs, "ms",
     "Age above which a claim is never run; must be far below the log's retention."},
    {"once.max_pending", kInteger, "4096", 1, 1000000, "calls", "Calls with a key in progress at once."},
    {"once.outcome_bytes", kBytes, "33554432", 0, kMaxBytes, "bytes", "Most bytes of outcomes kept for repeats."},
};

// Rows that entries and agents share on the hosted platform, which has a store and no VM list.
constexpr SettingRow kHostedCommonRows[] = {
    {"vm.id", kText, "", 0, 0, "", "Address of this VM, which names it among its peers."},
    {"vm.name", kText, "unnamed", 0, 0, "", "Name of this VM for logs."},
    {"vm.zone", kText, "", 0, 0, "", "Availability zone of this VM."},
    {"vm.region", kText, "", 0, 0, "", "Region of this VM."},
    {"vm.address", kAddress, "", 0, 0, "", "IP address that this process listens on."},
    {"vm.memory_mb", kInteger, "1024", 16, 1e6, "MB",
     "Memory that this process may use. Answers being received hold at most an eighth of it together, callers' "
     "connections a quarter, and connections to the other HTTP ports an eighth."},
    {"log.level", kText, "info", 0, 0, "", "Lowest log level written: debug, info, warn or error."},
    {"traffic.threads", kInteger, "1", 1, 1, "threads", "Threads that process requests."},
    {"admin.port", kInteger, "8081", 1, kMaxPort, "port", "Port of health, metrics and status over HTTP."},
    {"fleet.zones", kList, "", 0, 0, "", "All availability zones with their regions, each as ZONE=REGION."},
    {"fleet.seeds", kList, "", 0, 0, "", "Addresses with ports of entries to ask first; only the address is used."},
    {"relay.port", kInteger, "7400", 1, kMaxPort, "port", "Port for beacons and records between processes."},
    {"relay.period_ms", kDuration, "100", 10, kHourMs, "ms", "Time between two beacons."},
    {"store.target", kTarget, "", 0, 0, "", "Address of the platform's store."},
    {"store.timeout_ms", kDuration, "1200", 50, kHourMs, "ms",
     "Time allowed for one call to the store, besides the wait that it is asked for."},
    {"store.operator_wait_ms", kDuration, "2500", 0, kHourMs, "ms", "Longest wait of one read of operators' records."},
    {"store.directory_period_ms", kDuration, "500", 10, kHourMs, "ms", "Time between two reads of the directory."},
    {"store.direct_readers", kInteger, "8", 1, 1e6, "entries",
     "Most entries of a zone that all read the store. In a larger zone one reads it and gives the records to the "
     "others."},
    {"version.limit_ms", kDuration, "8000", 100, kHourMs, "ms",
     "Time after which no request may begin on weights that are no longer wanted."},
    {"drain.grace_ms", kDuration, "8000", 100, kHourMs, "ms", "Time from SIGTERM until the process is killed."},
};

constexpr SettingRow kHostedEntryOnlyRows[] = {
    {"http.target", kTarget, "", 0, 0, "", "Address for callers."},
    {"ready.target", kTarget, "", 0, 0, "", "Address on which the balancer asks for readiness."},
    {"retry.share", kNumber, "0.2", 0, 1, "share", "Attempts beyond the first as a share of first ones, fleet-wide."},
    {"retry.slack", kNumber, "0", 0, 1e6, "attempts", "Attempts beyond that share that the fleet may make."},
    {"balancer.learn_pace", kFlag, "false", 0, 0, "",
     "Whether endpoints begin slowly after a start or an outage, and are chosen by their observed speed."},
};

constexpr SettingRow kHostedAgentOnlyRows[] = {
    {"vm.pool", kText, "", 0, 0, "", "Pool that this VM's endpoint belongs to."},
    {"engine.target", kTarget, "", 0, 0, "", "Address of the local engine."},
    {"engine.poll_ms", kDuration, "100", 10, kHourMs, "ms", "Time between two reads of the engine's report."},
    {"engine.settle_ms", kDuration, "1500", 0, kHourMs, "ms",
     "Time within which the engine executes a call that it received but did not answer."},
    {"transfer.port", kInteger, "7402", 1, kMaxPort, "port", "Port for chunk transfer between agents."},
    {"vm.link_mbps", kNumber, "1000", 0.1, 1e6, "Mbit/s", "Rate of this VM's link."},
    {"transfer.shared_rate", kRate, "900000", 1024, kMaxRate, "bytes/s", "Rate limit of chunks sent to other zones."},
    {"transfer.cache_bytes", kBytes, "16777216", 1048576, kMaxBytes, "bytes",
     "Most bytes of chunks kept in memory for peers."},
    {"transfer.hedge_ms", kDuration, "1200", 10, kHourMs, "ms",
     "Time without progress before another owner takes over the download."},
};

template <size_t N, size_t M>
constexpr std::array<SettingRow, N + M> Join(const SettingRow (&first)[N], const SettingRow (&second)[M]) {
  std::array<SettingRow, N + M> rows{};
  for (size_t i = 0; i < N; ++i) rows[i] = first[i];
  for (size_t i = 0; i < M; ++i) rows[N + i] = second[i];
  return rows;
}

constexpr auto kEntryRows = Join(kCommonRows, kEntryOnlyRows);
constexpr auto kAgentRows = Join(kCommonRows, kAgentOnlyRows);
constexpr auto kHostedEntryRows = Join(kHostedCommonRows, kHostedEntryOnlyRows);
constexpr auto kHostedAgentRows = Join(kHostedCommonRows, kHostedAgentOnlyRows);

}  // namespace

SettingsTable GetEntrySettingsTable() { return kEntryRows; }

SettingsTable GetAgentSettingsTable() { return kAgentRows; }

SettingsTable GetHostedEntrySettingsTable() { return kHostedEntryRows; }

SettingsTable GetHostedAgentSettingsTable() { return kHostedAgentRows; }

}  // namespace plantain
