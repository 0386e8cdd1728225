#include "bench/capacity/Fleet.h"
#include "bench/capacity/Slopes.h"
#include "coordination/OwnershipStateMachine.h"
#include "daemon/OwnershipDriver.h"
#include "state/Placement.h"

namespace lychee::bench {

namespace {

// Part of the targets' time that the demand needs.
constexpr double use = 0.68;

LineSubject overRows(std::string name) { return {std::move(name), "targets", {500, 2000, 10'000}, 24}; }

LineSubject overResident(std::string name) { return {std::move(name), "resident artifacts", {6, 12, 24}}; }

// As PlacementService::readTable() reads the table.
void readListing(const std::string& listing)
{
    const absl::StatusOr<std::vector<NamedRow>> rows = decodeRows(std::string(targetsTable), listing);
    for (const NamedRow& row : *rows)
        parseTargetRow(row.row).status().IgnoreError();
}

std::unique_ptr<OwnershipStateMachine> makeMachine(std::size_t number)
{
    OwnershipOptions options;
    options.self = InstanceId("instance-0001~00000001");
    options.memory = Bytes(80 * gibibyte.value());
    options.honoursFencing = true;
    options.generateUniqueId = [] { return std::string("0"); };
    auto machine = std::make_unique<OwnershipStateMachine>(std::move(options));
    machine->on({TimePoint(), RowRead{VersionedRow{RowVersion(40), makeRow(number)}}});
    machine->on({TimePoint(), DesiredOwnerChanged{InstanceId("instance-0002~00000002"), {}}});
    return machine;
}

template <typename Make> Line measureKept(const LineSubject& subject, const Make& make)
{
    return measureBytes(subject, [&](std::size_t count) {
        return bytesKeptBy([&] {
            std::map<TargetId, decltype(make(count))> kept;
            for (std::size_t i = 0; i < count; ++i)
                kept.emplace(TargetId(fmt::format("engine-{:05}", i)), make(i));
            return kept;
        });
    });
}

Line measurePlacement()
{
    return measureTime(overRows("planPlacement, one pass"), [](std::size_t targets) {
        const auto catalogue
            = Catalogue::create(std::make_shared<const Configuration>(makeConfiguration(scaledTo(targets))));
        auto residency = std::make_shared<ResidencySnapshot>(makeResidency(catalogue->configuration()));
        std::vector<double> demand(catalogue->artifactCount(), 0);
        std::fill_n(demand.begin(), catalogue->modelCount(),
            use * static_cast<double>(targets) / static_cast<double>(catalogue->modelCount()));
        return [=] { planPlacement(*catalogue, *residency, demand, {4, 32}); };
    });
}

} // namespace

TargetSlopes measureTargets()
{
    TargetSlopes slopes;
    slopes.rowListing = measureBytes(overRows("listing of table `targets`"),
        [](std::size_t count) { return static_cast<double>(makeRowListing(count).size()); });
    slopes.decodeRows = measureTime(overRows("decodeRows and decodeTargetRow"),
        [](std::size_t count) { return [listing = makeRowListing(count)] { readListing(listing); }; });
    slopes.rowHeap = measureKept(overRows("TargetRow, kept"), [](std::size_t number) { return makeRow(number); });
    slopes.reportBytes = measureBytes(overResident("report of an engine"),
        [](std::size_t resident) { return static_cast<double>(encodeReport(makeReport(1, resident)).size()); });
    slopes.decodeReport = measureTime(overResident("decodeReport"), [](std::size_t resident) {
        return [text = encodeReport(makeReport(1, resident))] { decodeReport(text).status().IgnoreError(); };
    });
    slopes.reportHeap
        = measureKept(overRows("EngineReport, kept"), [](std::size_t number) { return makeReport(number); });
    slopes.residentHeap = measureKept(overRows("resident artifacts of a report, kept"),
        [](std::size_t number) { return makeReport(number).resident; });
    slopes.machineHeap = measureKept(overRows("OwnershipStateMachine of a target of another owner, kept"),
        [](std::size_t number) { return makeMachine(number); });
    slopes.ledgerCount = measureTime(overResident("TargetLedger::mayRecordLoad"), [](std::size_t resident) {
        auto ledger = std::make_shared<TargetLedger>(makeRow(1, resident));
        ledger->applyReport(makeReport(1, resident), TimePoint());
        return [ledger] { ledger->mayRecordLoad({ArtifactId("model@1"), gibibyte}); };
    });
    slopes.placement = measurePlacement();
    return slopes;
}

std::vector<Line> linesOf(const TargetSlopes& slopes)
{
    return {slopes.rowListing, slopes.decodeRows, slopes.rowHeap, slopes.reportBytes, slopes.decodeReport,
        slopes.reportHeap, slopes.residentHeap, slopes.machineHeap, slopes.ledgerCount, slopes.placement};
}

} // namespace lychee::bench
