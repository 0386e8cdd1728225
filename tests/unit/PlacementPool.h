// Simulated targets that execute the orders of placement.
#pragma once

#include "state/Placement.h"

#include <gtest/gtest.h>

#include <random>

namespace lychee {

inline Bytes gibibytes(std::uint64_t count) { return Bytes(count * gibibyte.value()); }

inline std::shared_ptr<Configuration> createConfiguration(
    std::uint32_t targets, std::uint32_t models, std::uint32_t adapters)
{
    auto configuration = std::make_shared<Configuration>();
    configuration->moveWeight = 0.2;
    for (const char* name : {"a", "b", "c"})
        configuration->dataCentres.push_back({DataCentreId(name), "region"});
    for (std::uint32_t i = 0; i < targets; ++i) {
        Target target;
        target.id = TargetId(fmt::format("target{}", i));
        target.dataCentre = configuration->dataCentres[i % 3].id;
        target.memory = gibibytes(100);
        configuration->targets.push_back(target);
    }
    for (std::uint32_t i = 0; i < models; ++i) {
        Model model;
        model.id = ModelId(fmt::format("model{}", i));
        model.version = std::string("1");
        model.bytes = gibibytes(20 + i % 3 * 10);
        configuration->models.push_back(model);
    }
    for (std::uint32_t i = 0; i < adapters; ++i)
        configuration->adapters.push_back(
            {AdapterId(fmt::format("adapter{}", i)), configuration->models[i % models].id, "1", gibibytes(1)});
    return configuration;
}

// Simulated targets with checks that must hold after every order.
class Pool {
public:
    explicit Pool(std::shared_ptr<const Configuration> configuration)
        : catalogue(Catalogue::create(configuration))
        , demand(catalogue->artifactCount())
    {
        for (const Target& target : configuration->targets)
            residency.targets.push_back({target.id, true, true, Bytes(0), {}});
    }

    std::vector<PlannedOrder> plan(LoadAllowance allowance = {8, 60, true}) const
    {
        return planPlacement(*catalogue, residency, demand, allowance);
    }

    // Starts an order; the target must have memory for it and an unload must leave a resident copy.
    void start(const PlannedOrder& order)
    {
        auto& held = residency.targets[order.target.value()].held;
        if (order.kind == OrderKind::Load) {
            held.push_back({order.artifact, order.bytes, ArtifactState::Loading});
            ASSERT_LE(
                used(order.target).value(), catalogue->configuration().targets[order.target.value()].memory.value());
            return;
        }
        for (HeldArtifact& artifact : held) {
            if (artifact.artifact == order.artifact && artifact.state == ArtifactState::Resident)
                artifact.state = ArtifactState::Unloading;
        }
        const auto meaning = catalogue->artifact(order.artifact);
        ASSERT_TRUE(!meaning || served(meaning->route)) << order.artifact << " was unloaded from its last target";
    }

    // Completes orders in progress, each with the given probability in percent.
    void completeOrders(std::mt19937_64& random, std::uint64_t percent)
    {
        for (TargetResidency& target : residency.targets) {
            std::erase_if(target.held, [&](const HeldArtifact& held) {
                return held.state == ArtifactState::Unloading && random() % 100 < percent;
            });
            for (HeldArtifact& held : target.held) {
                if (held.state == ArtifactState::Loading && random() % 100 < percent)
                    held.state = ArtifactState::Resident;
            }
        }
    }

    // Plans and executes orders until none are planned; returns the number of passes, at most `limit`.
    int converge(int limit = 200)
    {
        std::mt19937_64 random(1);
        for (int pass = 0; pass < limit; ++pass) {
            const auto orders = plan();
            if (orders.empty())
                return pass;
            for (const PlannedOrder& order : orders)
                start(order);
            completeOrders(random, 100);
        }
        return limit;
    }

    Bytes used(TargetIndex target) const
    {
        Bytes sum;
        for (const HeldArtifact& held : residency.targets[target.value()].held)
            sum += held.bytes;
        return sum;
    }

    std::size_t copies(const ArtifactId& artifact) const
    {
        std::size_t count = 0;
        for (const TargetResidency& target : residency.targets) {
            for (const HeldArtifact& held : target.held)
                count += target.live && held.state == ArtifactState::Resident && held.artifact == artifact ? 1 : 0;
        }
        return count;
    }

    // Whether a live target holds the model, or the adapter together with its model, in any version.
    bool served(RouteIndex route) const
    {
        return std::any_of(residency.targets.begin(), residency.targets.end(), [&](const TargetResidency& target) {
            return target.live && holds(target, route) && holds(target, catalogue->modelOf(route));
        });
    }

    bool holds(const TargetResidency& target, RouteIndex route) const
    {
        return std::any_of(target.held.begin(), target.held.end(), [&](const HeldArtifact& held) {
            const auto meaning = catalogue->artifact(held.artifact);
            return held.state == ArtifactState::Resident && meaning && meaning->route == route;
        });
    }

    void expectAllServed() const
    {
        for (std::uint32_t i = 0; i < catalogue->artifactCount(); ++i)
            EXPECT_TRUE(served(RouteIndex(i))) << catalogue->artifactId(RouteIndex(i));
    }

    void failTarget(std::size_t target)
    {
        residency.targets[target].live = false;
        residency.targets[target].held.clear();
    }

    std::shared_ptr<const Catalogue> catalogue;
    std::vector<double> demand;
    ResidencySnapshot residency;
};

} // namespace lychee
