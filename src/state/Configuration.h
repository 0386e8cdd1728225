// The configuration generated from the answers: what the system serves, for whom, and on which targets.
#pragma once

#include "protocol/Ids.h"
#include "protocol/Units.h"
#include "transport/HttpMessage.h"
#include "transport/RuntimeClock.h"

#include <absl/status/statusor.h>

#include <string>
#include <unordered_map>
#include <vector>

namespace lychee {

// Limits of the weight store and of adapter loads, shared by all instances.
struct StoreLimits {
    double modelLoadsPerSecond = 2;
    std::uint32_t modelLoadsAtOnce = 8;
    std::uint32_t adapterLoadsAtOnce = 60;

    bool operator==(const StoreLimits&) const = default;
};

struct DataCentre {
    DataCentreId id;
    std::string region;

    bool operator==(const DataCentre&) const = default;
};

struct Team {
    TeamId id;
    // SHA-256 of the team's token, in hexadecimal.
    std::string tokenSha256;
    // Weight of the team when capacity is short.
    double share = 1;

    bool operator==(const Team&) const = default;
};

// A class of callers of a team.
struct CallerClass {
    CallerClassId id;
    TeamId team;
    // The longest time that callers of this class wait for an answer.
    std::chrono::milliseconds patience{0};
    // 0 to 9; higher is more urgent.
    int priority = 0;

    bool operator==(const CallerClass&) const = default;
};

struct Model {
    ModelId id;
    std::vector<TeamId> teams;
    CallerClassId callerClass;
    std::string version;
    Bytes bytes;
    // Declared share of the demand for all models.
    double share = 1;

    // The artifact that engines load for this model.
    ArtifactId artifact() const { return ArtifactId(fmt::format("{}@{}", id, version)); }

    bool operator==(const Model&) const = default;
};

struct Adapter {
    AdapterId id;
    ModelId model;
    std::string version;
    Bytes bytes;

    // The artifact that engines load for this adapter beside the artifact of its model.
    ArtifactId artifact(const ArtifactId& modelArtifact) const
    {
        return ArtifactId(fmt::format("{}:{}@{}", modelArtifact, id, version));
    }

    bool operator==(const Adapter&) const = default;
};

// A kind of call of a plain service, recognized by method and path.
struct ServiceCall {
    std::string name;
    std::string method;
    std::string pathPrefix;
    bool idempotent = false;
    CallerClassId callerClass;

    bool operator==(const ServiceCall&) const = default;
};

struct Service {
    ServiceId id;
    std::vector<TeamId> teams;
    std::vector<ServiceCall> calls;

    bool operator==(const Service&) const = default;
};

enum class TargetKind {
    Engine,
    Service,
};

struct Target {
    TargetId id;
    TargetKind kind = TargetKind::Engine;
    // The service that the target runs; empty for engines.
    ServiceId service;
    DataCentreId dataCentre;
    Endpoint endpoint;
    Bytes memory;
    std::uint32_t accelerators = 1;
    // Whether the target itself checks which instance sends it an order.
    bool checksOwner = false;
    bool honoursFencing = false;

    bool operator==(const Target&) const = default;
};

// A complete configuration. Immutable once published; shared between threads as std::shared_ptr<const Configuration>.
struct Configuration {
    ConfigurationVersion version;
    std::string deployment;
    // Weight of moves (loads and unloads of models) against late answers, from 0 (only late answers count) to 1 (only
    // moves count).
    double moveWeight = 0.5;
    StoreLimits store;
    std::vector<DataCentre> dataCentres;
    std::vector<Team> teams;
    std::vector<CallerClass> classes;
    std::vector<Model> models;
    std::vector<Adapter> adapters;
    std::vector<Service> services;
    std::vector<Target> targets;
    // The answers from which this configuration was generated, as submitted.
    std::string answers;

    bool operator==(const Configuration&) const = default;

    // The artifact that engines load for an adapter; its model must be declared.
    ArtifactId artifactOf(const Adapter& adapter) const;

    // Lookups by id; null when absent.
    const Team* team(const TeamId& id) const;
    const CallerClass* callerClass(const CallerClassId& id) const;
    const Model* model(const ModelId& id) const;
    const Adapter* adapter(const AdapterId& id) const;
    const Service* service(const ServiceId& id) const;
    const Target* target(const TargetId& id) const;
};

// Writes the configuration as a JSON document.
std::string encodeConfiguration(const Configuration& configuration);

// Reads a document written by encodeConfiguration(). Fails with StateError::ConfigurationInvalid.
absl::StatusOr<Configuration> decodeConfiguration(std::string_view document);

} // namespace lychee
