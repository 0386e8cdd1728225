// Dense indices of the targets, data centres, models, adapters and services of one configuration.
#pragma once

#include "protocol/StableHash.h"
#include "state/Configuration.h"

namespace lychee {

// Position of a target in Configuration::targets.
using TargetIndex = StrongNumber<struct TargetIndexTag, std::uint32_t>;
// Position of a data centre in Configuration::dataCentres.
using DataCentreIndex = StrongNumber<struct DataCentreIndexTag, std::uint32_t>;
// Index of what a request can ask for: models, then adapters, then plain services, each in the order of the
// configuration.
using RouteIndex = StrongNumber<struct RouteIndexTag, std::uint32_t>;

// The model or adapter that an artifact name refers to in a configuration.
struct ResolvedArtifact {
    RouteIndex route;
    // Whether the name contains the declared version; an earlier version is used until the declared one is resident.
    bool current = true;
};

// Immutable lookup tables of a configuration; routing and placement work with the indices.
class Catalogue {
public:
    static std::shared_ptr<const Catalogue> create(std::shared_ptr<const Configuration> configuration);

    const Configuration& configuration() const { return *configuration_; }

    std::size_t targetCount() const { return configuration_->targets.size(); }
    std::size_t modelCount() const { return configuration_->models.size(); }
    std::size_t adapterCount() const { return configuration_->adapters.size(); }
    // Models and adapters together.
    std::size_t artifactCount() const { return modelCount() + adapterCount(); }
    // Models, adapters and services together.
    std::size_t routeCount() const { return artifactCount() + configuration_->services.size(); }

    bool isModel(RouteIndex route) const { return route.value() < modelCount(); }
    bool isAdapter(RouteIndex route) const { return !isModel(route) && route.value() < artifactCount(); }

    std::optional<TargetIndex> target(const TargetId& id) const;
    std::optional<RouteIndex> model(const ModelId& id) const;
    // The adapter of this model; adapters of different models may share a name.
    std::optional<RouteIndex> adapter(const ModelId& model, const AdapterId& id) const;
    std::optional<RouteIndex> service(const ServiceId& id) const;
    // Absent for artifacts of models or adapters that are no longer declared.
    std::optional<ResolvedArtifact> artifact(const ArtifactId& id) const;

    // The declared artifact of a model or adapter.
    const ArtifactId& artifactId(RouteIndex route) const { return artifacts_[route.value()]; }
    Bytes bytes(RouteIndex route) const { return bytes_[route.value()]; }
    // The model of an adapter; for a model, the model itself.
    RouteIndex modelOf(RouteIndex route) const { return modelOf_[route.value()]; }
    const std::vector<RouteIndex>& adaptersOf(RouteIndex model) const { return adaptersOf_[model.value()]; }
    DataCentreIndex dataCentreOf(TargetIndex target) const { return dataCentreOf_[target.value()]; }

    // Stable hashes of names, for rendezvous hashing; they don't depend on the order of the configuration.
    std::uint64_t routeHash(RouteIndex route) const { return routeHashes_[route.value()]; }
    std::uint64_t targetHash(TargetIndex target) const { return targetHashes_[target.value()]; }

private:
    Catalogue() = default;

    void addModels();
    void addAdapters();
    void addServicesAndTargets();

    std::shared_ptr<const Configuration> configuration_;
    std::unordered_map<std::string, std::uint32_t> targets_;
    std::unordered_map<std::string, std::uint32_t> models_;
    std::unordered_map<std::string, std::uint32_t> adapters_;
    std::unordered_map<std::string, std::uint32_t> services_;
    std::unordered_map<std::string, std::uint32_t> artifactRoutes_;
    std::vector<ArtifactId> artifacts_;
    std::vector<Bytes> bytes_;
    std::vector<RouteIndex> modelOf_;
    std::vector<std::vector<RouteIndex>> adaptersOf_;
    std::vector<DataCentreIndex> dataCentreOf_;
    std::vector<std::uint64_t> routeHashes_;
    std::vector<std::uint64_t> targetHashes_;
};

} // namespace lychee
