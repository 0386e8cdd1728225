// Entry point of fleet_worker_standin.
#include "tests/standins/fleet_worker_standin/Worker.h"

#include <absl/flags/flag.h>
#include <absl/strings/str_split.h>

ABSL_FLAG(std::string, id, "worker-1", "Id under which the worker registers itself.");
ABSL_FLAG(std::string, service, "hall", "Service of the worker.");
ABSL_FLAG(std::string, zone, "a", "Zone of the worker.");
ABSL_FLAG(std::string, software_version, "v1", "Version of the software that the entry in the store states.");
ABSL_FLAG(std::uint16_t, store_port, 0, "Port of the store on the loopback address.");
ABSL_FLAG(std::uint16_t, advertise_port, 0, "Port that the entry in the store names; 0 for the worker's own.");
ABSL_FLAG(std::string, record, "", "File to which runs and orders are appended.");
ABSL_FLAG(std::string, models, "", "Models held at the start, separated by commas; a plain worker has none.");
ABSL_FLAG(int, events, 10, "Events of a stream.");
ABSL_FLAG(int, event_ms, 20, "Time between two events.");
ABSL_FLAG(double, request_limit, 0, "Requests per second that answers say the worker takes; 0 for none.");
ABSL_FLAG(bool, report_load, false, "States the load in each answer.");
ABSL_FLAG(std::uint64_t, pace_seed, 0,
    "Works at a pace that changes every 600 ms and is drawn from this seed, and states it with the load; 0 for the "
    "usual pace.");

int main(int argc, char** argv)
{
    using namespace lychee::standin;
    parseFlags(argc, argv);
    WorkerOptions options;
    options.id = absl::GetFlag(FLAGS_id);
    options.service = absl::GetFlag(FLAGS_service);
    options.zone = absl::GetFlag(FLAGS_zone);
    options.softwareVersion = absl::GetFlag(FLAGS_software_version);
    options.storeAddress = "127.0.0.1";
    options.storePort = absl::GetFlag(FLAGS_store_port);
    options.advertisedPort = absl::GetFlag(FLAGS_advertise_port);
    options.record = absl::GetFlag(FLAGS_record);
    const std::string models = absl::GetFlag(FLAGS_models);
    if (!models.empty()) {
        for (const auto& model : absl::StrSplit(models, ','))
            options.models.emplace(model);
    }
    options.events = absl::GetFlag(FLAGS_events);
    options.eventTime = std::chrono::milliseconds(absl::GetFlag(FLAGS_event_ms));
    options.requestLimit = absl::GetFlag(FLAGS_request_limit);
    options.reportsLoad = absl::GetFlag(FLAGS_report_load);
    options.paceSeed = absl::GetFlag(FLAGS_pace_seed);
    Worker worker(std::move(options));
    return runStandin(worker);
}
