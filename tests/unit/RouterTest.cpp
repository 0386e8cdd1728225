#include "state/Router.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <new>
#include <random>
#include <set>

namespace {

// Counts the allocations of this program; a routing decision must not make any.
std::size_t allocations = 0;

} // namespace

[[gnu::noinline]] void* operator new(std::size_t size)
{
    ++allocations;
    if (void* memory = std::malloc(size))
        return memory;
    throw std::bad_alloc();
}

[[gnu::noinline]] void operator delete(void* memory) noexcept { std::free(memory); }
[[gnu::noinline]] void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }

namespace lychee {
namespace {

TimePoint at(double seconds) { return TimePoint(Duration(static_cast<Duration::rep>(seconds * 1e9))); }

// Targets 0 to 3 in data centre a, 4 to 7 in b; a model with an adapter; targets 8 and 9 run a service.
class Routing : public testing::Test {
protected:
    Routing()
    {
        auto configuration = std::make_shared<Configuration>();
        configuration->dataCentres = {{DataCentreId("a"), ""}, {DataCentreId("b"), ""}};
        configuration->services.push_back({ServiceId("desk"), {}, {}});
        for (std::uint32_t i = 0; i < 10; ++i) {
            Target target;
            target.id = TargetId(fmt::format("target{}", i));
            target.dataCentre = DataCentreId(i < 4 || i == 8 ? "a" : "b");
            if (i >= 8) {
                target.kind = TargetKind::Service;
                target.service = ServiceId("desk");
            }
            configuration->targets.push_back(target);
        }
        Model model;
        model.id = ModelId("m");
        model.version = std::string("2");
        configuration->models.push_back(model);
        configuration->adapters.push_back({AdapterId("x"), model.id, "1", Bytes(1)});
        catalogue = Catalogue::create(configuration);
        loads.emplace(*catalogue);
        affinity.emplace(catalogue->targetCount());
    }

    void hold(std::uint32_t target, const std::string& artifact)
    {
        residency.targets.push_back({TargetId(fmt::format("target{}", target)), true, false, Bytes(0),
            {{ArtifactId(artifact), Bytes(1), ArtifactState::Resident}}});
    }

    void holdEverywhere()
    {
        for (std::uint32_t i = 0; i < 8; ++i)
            hold(i, "m@2");
    }

    void report(std::uint32_t target, double measuredAt, std::uint32_t running, std::uint32_t queued)
    {
        loads->of(TargetIndex(target)).report({at(measuredAt), running, queued, 4, 0});
    }

    std::optional<RouteDecision> decide(RouteIndex wanted, std::vector<TargetIndex> excluded = {},
        std::vector<PromptPrefix> prefixes = {}, const RouterOptions& options = {})
    {
        const auto index = RoutingIndex::create(catalogue, residency, InstanceId("i"), DataCentreId("a"), options);
        return route(*index, *loads, *affinity, {wanted, excluded, prefixes, 1000}, now, random());
    }

    std::shared_ptr<const Catalogue> catalogue;
    ResidencySnapshot residency;
    std::optional<LoadTable> loads;
    std::optional<PrefixAffinity> affinity;
    std::mt19937_64 random{7};
    TimePoint now = at(100);
    RouteIndex model{0};
    RouteIndex adapter{1};
    RouteIndex service{2};
};

// Guards against traffic to other data centres while the instance's own has free targets, and against a refusal while
// another data centre could serve the request.
TEST_F(Routing, PrefersTheOwnDataCentreAndFallsBackToOthers)
{
    holdEverywhere();
    for (int i = 0; i < 100; ++i)
        EXPECT_LT(decide(model)->target.value(), 4u);
    const std::vector<TargetIndex> tried{TargetIndex(0), TargetIndex(1), TargetIndex(2), TargetIndex(3)};
    for (int i = 0; i < 100; ++i)
        EXPECT_GE(decide(model, tried)->target.value(), 4u);
    for (std::uint32_t i = 0; i < 4; ++i) {
        report(i, 99, 4, 20);
        loads->of(TargetIndex(i)).finished(now, std::chrono::seconds(2));
    }
    EXPECT_FALSE(decide(model)->local);
}

// Guards against a retry on a target that was already tried, and against the choice of a target that just failed.
TEST_F(Routing, LeavesOutTriedAndFailedTargets)
{
    hold(0, "m@2");
    hold(1, "m@2");
    loads->of(TargetIndex(1)).failed(now);
    EXPECT_EQ(decide(model)->target, TargetIndex(0));
    EXPECT_FALSE(decide(model, {TargetIndex(0)}));
    now = at(110);
    EXPECT_EQ(decide(model, {TargetIndex(0)})->target, TargetIndex(1));
}

// Guards against a queue that is not seen until the next report, so that too many requests go to the same target.
TEST_F(Routing, CountsRequestsSentSinceTheReport)
{
    TargetLoad load;
    load.report({at(10), 2, 0, 4, 0});
    for (int i = 0; i < 6; ++i)
        load.sent(at(11));
    load.finished(at(12), std::chrono::seconds(1));
    EXPECT_EQ(load.occupancy(), 7);
    EXPECT_GT(load.predictedWait(), Duration(0));
    EXPECT_EQ(load.occupancy(0), 2);
    // The next report was made after the sends, so it includes them.
    load.report({at(11.5), 8, 0, 4, 0});
    EXPECT_EQ(load.occupancy(), 7);
    // A report that is older than the last one is ignored.
    load.report({at(10.5), 0, 0, 4, 0});
    EXPECT_EQ(load.occupancy(), 7);
}

// Guards against refusals of urgent requests because of queued requests that the engine will start after them.
TEST_F(Routing, UrgentRequestsPassTheQueue)
{
    TargetLoad load;
    load.report({at(10), 0, 0, 4, 0});
    for (int i = 0; i < 20; ++i)
        load.sent(at(11), 3);
    load.finished(at(12), std::chrono::seconds(4), 3);
    EXPECT_EQ(load.predictedWait(1, 6), std::chrono::seconds(1));
    EXPECT_EQ(load.predictedWait(1, 3), std::chrono::seconds(16));
}

// Guards against uneven load: of two choices, the shorter queue wins.
TEST_F(Routing, AvoidsTheLongerQueue)
{
    hold(0, "m@2");
    hold(1, "m@2");
    for (std::uint32_t i = 0; i < 2; ++i) {
        report(i, 99, 4, 5 * i);
        loads->of(TargetIndex(i)).finished(at(98), std::chrono::seconds(1));
    }
    for (int i = 0; i < 100; ++i)
        EXPECT_EQ(decide(model)->target, TargetIndex(0));
}

// Guards against prompts that are computed again although a target has them cached, and against the choice of a target
// whose entry was evicted, whose engine restarted or whose queue is too long.
TEST_F(Routing, FollowsCachedPrefixes)
{
    holdEverywhere();
    const std::vector<PromptPrefix> prefixes{{42, 800}};
    affinity->observe(TargetIndex(2), {1, 42, true}, now);
    for (int i = 0; i < 50; ++i)
        EXPECT_EQ(decide(model, {}, prefixes)->target, TargetIndex(2));
    report(2, 99, 4, 50);
    loads->of(TargetIndex(2)).finished(now, std::chrono::seconds(1));
    EXPECT_NE(decide(model, {}, prefixes)->target, TargetIndex(2));

    std::array<PrefixAffinity::Holder, PrefixAffinity::holdersPerPrefix> found;
    ASSERT_EQ(affinity->holders(42, now, found), 1u);
    const double confidence = found[0].confidence;
    affinity->observe(TargetIndex(2), {5, 7, true}, now);
    ASSERT_EQ(affinity->holders(42, now, found), 1u);
    EXPECT_LT(found[0].confidence, confidence);
    affinity->observe(TargetIndex(2), {6, 42, false}, now);
    EXPECT_EQ(affinity->holders(42, now, found), 0u);
    affinity->sent(TargetIndex(3), 43, now);
    affinity->forget(TargetIndex(3));
    EXPECT_EQ(affinity->holders(43, now, found), 0u);
}

// Guards against requests to a target that has the adapter but not its model, and against a refusal when only the
// adapter must be loaded.
TEST_F(Routing, AdaptersNeedTheirModel)
{
    hold(0, "m@2:x@1");
    EXPECT_FALSE(decide(adapter));
    hold(1, "m@2");
    const auto decision = decide(adapter);
    ASSERT_TRUE(decision);
    EXPECT_EQ(decision->target, TargetIndex(1));
    EXPECT_TRUE(decision->adapterMissing);
}

// Guards against an unreachable model while a new version is being loaded.
TEST_F(Routing, UsesTheEarlierVersionUntilTheDeclaredOneIsResident)
{
    hold(0, "m@1");
    const auto decision = decide(model);
    ASSERT_TRUE(decision);
    EXPECT_TRUE(decision->earlierVersion);
    hold(1, "m@2");
    EXPECT_EQ(decide(model)->target, TargetIndex(1));
}

TEST_F(Routing, ServicesNeedNoResidency)
{
    EXPECT_EQ(decide(service)->target, TargetIndex(8));
    EXPECT_EQ(decide(service, {TargetIndex(8)})->target, TargetIndex(9));
}

// Guards against a subset that changes completely when one target changes, which would make the cached prefixes
// useless.
TEST_F(Routing, SubsetIsStable)
{
    holdEverywhere();
    RouterOptions options;
    options.subsetSize = 2;
    const auto subset = [&] {
        const auto index = RoutingIndex::create(catalogue, residency, InstanceId("i"), DataCentreId("a"), options);
        const auto local = index->candidates(model).local;
        std::set<std::uint32_t> targets;
        for (const TargetIndex target : local)
            targets.insert(target.value());
        return targets;
    };
    const auto before = subset();
    ASSERT_EQ(before.size(), 2u);
    for (std::uint32_t lost = 0; lost < 4; ++lost) {
        residency.targets[lost].live = false;
        std::set<std::uint32_t> kept = before;
        kept.erase(lost);
        for (const std::uint32_t target : kept)
            EXPECT_TRUE(subset().contains(target));
        residency.targets[lost].live = true;
    }
}

// Guards against memory allocations in the routing of a request.
TEST_F(Routing, DecidesWithoutAllocation)
{
    holdEverywhere();
    const auto index = RoutingIndex::create(catalogue, residency, InstanceId("i"), DataCentreId("a"));
    const std::array<PromptPrefix, 1> prefixes{PromptPrefix{42, 800}};
    affinity->sent(TargetIndex(2), 42, now);
    const std::size_t before = allocations;
    for (int i = 0; i < 100; ++i)
        ASSERT_TRUE(route(*index, *loads, *affinity, {model, {}, prefixes, 1000}, now, random()));
    EXPECT_EQ(allocations, before);
}

// Guards against the loss of all load estimates when the configuration changes.
TEST_F(Routing, LoadsSurviveAConfigurationChange)
{
    report(5, 99, 3, 0);
    loads->recordServiceTime(service, std::chrono::seconds(2));
    auto changed = std::make_shared<Configuration>(catalogue->configuration());
    changed->targets.erase(changed->targets.begin());
    const auto next = Catalogue::create(changed);
    loads->adopt(*catalogue, *next);
    EXPECT_EQ(loads->of(TargetIndex(4)).occupancy(), 3);
    EXPECT_EQ(loads->expectedServiceTime(service), std::chrono::seconds(2));
}

} // namespace
} // namespace lychee
