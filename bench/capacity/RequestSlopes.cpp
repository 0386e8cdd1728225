#include "bench/capacity/Fleet.h"
#include "bench/capacity/Slopes.h"
#include "coordination/ClaimStateMachine.h"
#include "coordination/CrashingRequestTracker.h"
#include "coordination/LoadPacer.h"
#include "protocol/EventStream.h"
#include "state/DemandTracker.h"
#include "state/Router.h"

namespace lychee::bench {

namespace {

constexpr std::size_t answerBytes = 512;
constexpr std::uint64_t randomStep = 0x9E3779B97F4A7C15ULL;

std::string hexadecimal(std::size_t number, std::size_t digits) { return fmt::format("{:0{}x}", number, digits); }

ClaimRequest makeClaimRequest(std::size_t number)
{
    ClaimRequest request;
    request.team = TeamId("timber");
    request.key = IdempotencyKey(hexadecimal(number, 32));
    request.bodyHash = BodyHash(hexadecimal(number, 64));
    request.nonce = Nonce(hexadecimal(number + 1, 32));
    request.instance = InstanceId("instance-0001~00000001");
    request.deadline = TimePoint(std::chrono::seconds(60));
    request.unknownAfter = std::chrono::minutes(20);
    return request;
}

HttpResponse makeAnswer() { return {201, {{"Content-Type", "application/json"}}, std::string(answerBytes, 'a')}; }

// The two writes of each of `count` claims, encoded as calls carry them: inserts and stored answers share batches.
std::vector<TableTransaction> makeClaimWrites(std::size_t count)
{
    std::vector<TableTransaction> writes;
    for (std::size_t i = 0; i < count; ++i) {
        ClaimStateMachine machine = ClaimStateMachine::create(makeClaimRequest(i));
        const auto insert = std::get<InsertClaim>(machine.start({}));
        machine.on(Committed{RowVersion(1)}, {});
        ClaimAction next = machine.on(TargetAnswered{makeAnswer()}, {});
        if (std::holds_alternative<Reply>(next))
            next = machine.on(Replied{}, {});
        const auto store = std::get<StoreAnswer>(next);
        const RowKey key{std::string(claimsTable), insert.key};
        writes.push_back(TableTransaction::compareAndSet(key, insert.check, insert.row.toJson()));
        writes.push_back(TableTransaction::compareAndSet(key, store.check, store.row.toJson()));
    }
    return writes;
}

std::string encodeAll(const std::vector<TableTransaction>& writes)
{
    std::vector<const TableTransaction*> pointers;
    pointers.reserve(writes.size());
    for (const TableTransaction& write : writes)
        pointers.push_back(&write);
    return encodeTransactions(pointers);
}

std::string makeResults(std::size_t writes)
{
    std::string body = R"({"results":[)";
    for (std::size_t i = 0; i < writes; ++i)
        body += std::string(i == 0 ? "" : ",") + R"({"committed":true,"versions":[12345]})";
    return body + "]}";
}

LineSubject overClaims(std::string name) { return {std::move(name), "claims", {1, 16, 64}}; }

void measureClaims(RequestSlopes& slopes)
{
    slopes.claimBatch = measureBytes(overClaims("calls with both writes of claims"),
        [](std::size_t claims) { return static_cast<double>(encodeAll(makeClaimWrites(claims)).size()); });
    slopes.claimMachine = measureTime(overClaims("ClaimStateMachine and ClaimRow::toJson"),
        [](std::size_t claims) { return [claims] { makeClaimWrites(claims); }; });
    slopes.claimEncode = measureTime(overClaims("encodeTransactions"),
        [](std::size_t claims) { return [writes = makeClaimWrites(claims)] { encodeAll(writes); }; });
    slopes.claimDecode = measureTime(overClaims("decodeTransactionResults"), [](std::size_t claims) {
        return [body = makeResults(2 * claims)] { decodeTransactionResults(body).status().IgnoreError(); };
    });
}

Line measureRoute()
{
    return measureTime({"route(), one request", "targets", {500, 2000, 10'000}, 24}, [](std::size_t targets) {
        const auto catalogue
            = Catalogue::create(std::make_shared<const Configuration>(makeConfiguration(scaledTo(targets))));
        const ResidencySnapshot residency = makeResidency(catalogue->configuration());
        const auto index
            = RoutingIndex::create(catalogue, residency, InstanceId("instance-0001"), DataCentreId("centre-01"));
        auto loads = std::make_shared<LoadTable>(*catalogue);
        auto affinity = std::make_shared<PrefixAffinity>(catalogue->targetCount());
        auto random = std::make_shared<std::uint64_t>(1);
        return [=] {
            *random += randomStep;
            RouteRequest request;
            request.route = RouteIndex(static_cast<std::uint32_t>((*random >> 32U) % catalogue->modelCount()));
            route(*index, *loads, *affinity, request, TimePoint(std::chrono::seconds(1)), *random);
        };
    });
}

Line measureDemandAdvance()
{
    return measureTime({"DemandTracker::advance", "artifacts", {1000, 2000, 4410}, 130}, [](std::size_t artifacts) {
        auto tracker = std::make_shared<DemandTracker>(artifacts, 0.2);
        auto now = std::make_shared<TimePoint>();
        return [=] {
            tracker->record(RouteIndex(7), 0.1);
            *now += std::chrono::seconds(1);
            tracker->advance(*now);
        };
    });
}

Line measureStream()
{
    return measureTime({"EventStreamParser::feed and formatEvent", "tokens", {100, 400, 1600}}, [](std::size_t tokens) {
        std::string text;
        for (std::size_t i = 1; i <= tokens; ++i)
            text += formatEvent({i, R"({"id":"request","choices":[{"index":0,"delta":{"content":" token"}}]})"});
        return [text] {
            EventStreamParser parser;
            const absl::StatusOr<std::vector<ServerEvent>> events = parser.feed(text);
            for (const ServerEvent& event : *events)
                formatEvent(event);
        };
    });
}

CrashingRequestTracker makeSuspicion(std::size_t bodies)
{
    CrashSettings settings;
    settings.instance = InstanceId("instance-0001~00000001");
    CrashingRequestTracker suspicion = CrashingRequestTracker::create(settings);
    for (std::size_t i = 0; i < bodies; ++i)
        suspicion.merge(CrashStrike{BodyHash(hexadecimal(i, 64)), {TargetId("engine-00001"), {}}, {}}, TimePoint());
    return suspicion;
}

LineSubject overBodies(std::string name) { return {std::move(name), "struck bodies", {100, 400, 1600}}; }

Line measurePacer()
{
    return measureTime({"LoadPacer: start and finish of all", "loads at once", {8, 16, 32}}, [](std::size_t loads) {
        LoadPacerOptions options{
            InstanceId("instance-0001"), DataCentreId("centre-01"), {DataCentreId("centre-01")}, {}};
        options.limits.adapterLoadsAtOnce = 8 * 64;
        auto pacer = std::make_shared<LoadPacer>(options);
        for (std::uint32_t slot = 0; slot < 8; ++slot)
            pacer->addSlot(LoadSlot(slot), TimePoint());
        return [=] {
            for (std::size_t i = 0; i < loads; ++i)
                pacer->start({TargetId("engine-00001"), ArtifactId(fmt::format("model@1:{}", i))},
                    TimePoint(std::chrono::hours(1)));
            for (std::size_t i = 0; i < loads; ++i)
                pacer->finish({TargetId("engine-00001"), ArtifactId(fmt::format("model@1:{}", i))});
        };
    });
}

} // namespace

RequestSlopes measureRequests()
{
    RequestSlopes slopes;
    measureClaims(slopes);
    slopes.route = measureRoute();
    slopes.demandAdvance = measureDemandAdvance();
    slopes.streamEvents = measureStream();
    slopes.ring = measureRing();
    slopes.suspicionMerge = measureTime(overBodies("CrashingRequestTracker::merge of all"),
        [](std::size_t bodies) { return [bodies] { makeSuspicion(bodies); }; });
    slopes.suspicionHeap = measureBytes(overBodies("CrashingRequestTracker, kept"),
        [](std::size_t bodies) { return bytesKeptBy([bodies] { return makeSuspicion(bodies); }); });
    slopes.pacer = measurePacer();
    return slopes;
}

std::vector<Line> linesOf(const RequestSlopes& slopes)
{
    return {slopes.claimBatch, slopes.claimMachine, slopes.claimEncode, slopes.claimDecode, slopes.route,
        slopes.demandAdvance, slopes.streamEvents, slopes.ring, slopes.suspicionMerge, slopes.suspicionHeap,
        slopes.pacer};
}

} // namespace lychee::bench
