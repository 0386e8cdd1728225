// Strong ids of everything that messages name.
#pragma once

#include "protocol/StrongType.h"

namespace lychee {

// One running process of the system; names are unique over restarts.
using InstanceId = StrongId<struct InstanceIdTag>;
using DataCentreId = StrongId<struct DataCentreIdTag>;
using TeamId = StrongId<struct TeamIdTag>;
// A class of callers of a team, with its patience and priority.
using CallerClassId = StrongId<struct CallerClassIdTag>;
// An engine or a process of a plain service.
using TargetId = StrongId<struct TargetIdTag>;
using ServiceId = StrongId<struct ServiceIdTag>;
// Version of the software of a target, not of the weights that it holds.
using SoftwareVersion = StrongId<struct SoftwareVersionTag>;
using ModelId = StrongId<struct ModelIdTag>;
using AdapterId = StrongId<struct AdapterIdTag>;
// What an engine loads: MODEL@VERSION or MODEL@VERSION:ADAPTER@VERSION.
using ArtifactId = StrongId<struct ArtifactIdTag>;
using RequestId = StrongId<struct RequestIdTag>;
using IdempotencyKey = StrongId<struct IdempotencyKeyTag>;
// SHA-256 of a request body, in hexadecimal.
using BodyHash = StrongId<struct BodyHashTag>;
// One send of an order to an engine.
using OrderId = StrongId<struct OrderIdTag>;
// A random value by which a writer recognizes its own row.
using Nonce = StrongId<struct NonceTag>;
// Names one run of an engine process; changes with each restart.
using EngineIncarnation = StrongId<struct EngineIncarnationTag>;

// Grows by one with each change of a target's owner.
using FencingNumber = StrongNumber<struct FencingNumberTag>;
// Version of a row of the table service; zero means that the row is absent.
using RowVersion = StrongNumber<struct RowVersionTag>;
using ConfigurationVersion = StrongNumber<struct ConfigurationVersionTag>;
// Counts the attempts of one request, from 1.
using AttemptNumber = StrongNumber<struct AttemptNumberTag>;

} // namespace lychee
