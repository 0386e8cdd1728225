#include "state/Catalogue.h"

namespace lychee {

namespace {

std::string adapterKey(std::string_view model, std::string_view adapter)
{
    return fmt::format("{}:{}", model, adapter);
}

template <typename Map> std::optional<std::uint32_t> find(const Map& map, const std::string& key)
{
    const auto found = map.find(key);
    if (found == map.end())
        return std::nullopt;
    return found->second;
}

template <typename Index> std::optional<Index> asIndex(std::optional<std::uint32_t> value)
{
    if (!value)
        return std::nullopt;
    return Index(*value);
}

} // namespace

std::shared_ptr<const Catalogue> Catalogue::create(std::shared_ptr<const Configuration> configuration)
{
    std::shared_ptr<Catalogue> catalogue(new Catalogue());
    catalogue->configuration_ = std::move(configuration);
    catalogue->addModels();
    catalogue->addAdapters();
    catalogue->addServicesAndTargets();
    return catalogue;
}

void Catalogue::addModels()
{
    for (const Model& model : configuration_->models) {
        const auto index = static_cast<std::uint32_t>(artifacts_.size());
        models_.emplace(model.id.value(), index);
        artifacts_.push_back(model.artifact());
        artifactRoutes_.emplace(artifacts_.back().value(), index);
        bytes_.push_back(model.bytes);
        modelOf_.emplace_back(index);
        routeHashes_.push_back(stableHash(model.id.value()));
    }
    adaptersOf_.resize(modelCount());
}

void Catalogue::addAdapters()
{
    for (const Adapter& adapter : configuration_->adapters) {
        const auto index = static_cast<std::uint32_t>(artifacts_.size());
        const std::string key = adapterKey(adapter.model.value(), adapter.id.value());
        const RouteIndex model(models_.at(adapter.model.value()));
        adapters_.emplace(key, index);
        artifacts_.push_back(adapter.artifact(artifacts_[model.value()]));
        artifactRoutes_.emplace(artifacts_.back().value(), index);
        bytes_.push_back(adapter.bytes);
        modelOf_.push_back(model);
        adaptersOf_[model.value()].emplace_back(index);
        routeHashes_.push_back(stableHash(key));
    }
}

void Catalogue::addServicesAndTargets()
{
    for (const Service& service : configuration_->services) {
        services_.emplace(service.id.value(), static_cast<std::uint32_t>(routeHashes_.size()));
        routeHashes_.push_back(stableHash(service.id.value()));
    }
    for (const Target& target : configuration_->targets) {
        targets_.emplace(target.id.value(), static_cast<std::uint32_t>(targetHashes_.size()));
        targetHashes_.push_back(stableHash(target.id.value()));
        const auto centre = std::find_if(configuration_->dataCentres.begin(), configuration_->dataCentres.end(),
            [&](const DataCentre& candidate) { return candidate.id == target.dataCentre; });
        dataCentreOf_.emplace_back(static_cast<std::uint32_t>(centre - configuration_->dataCentres.begin()));
    }
}

std::optional<TargetIndex> Catalogue::target(const TargetId& id) const
{
    return asIndex<TargetIndex>(find(targets_, id.value()));
}

std::optional<RouteIndex> Catalogue::model(const ModelId& id) const
{
    return asIndex<RouteIndex>(find(models_, id.value()));
}

std::optional<RouteIndex> Catalogue::adapter(const ModelId& model, const AdapterId& id) const
{
    return asIndex<RouteIndex>(find(adapters_, adapterKey(model.value(), id.value())));
}

std::optional<RouteIndex> Catalogue::service(const ServiceId& id) const
{
    return asIndex<RouteIndex>(find(services_, id.value()));
}

std::optional<ResolvedArtifact> Catalogue::artifact(const ArtifactId& id) const
{
    const std::string& name = id.value();
    if (const auto current = find(artifactRoutes_, name))
        return ResolvedArtifact{RouteIndex(*current), true};
    const std::size_t at = name.find('@');
    if (at == std::string::npos)
        return std::nullopt;
    const std::string model = name.substr(0, at);
    const std::size_t colon = name.find(':', at);
    std::optional<std::uint32_t> route;
    if (colon == std::string::npos)
        route = find(models_, model);
    else
        route = find(adapters_, adapterKey(model, name.substr(colon + 1, name.find('@', colon) - colon - 1)));
    if (!route)
        return std::nullopt;
    return ResolvedArtifact{RouteIndex(*route), false};
}

} // namespace lychee
