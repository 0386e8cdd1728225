// Orders to engines, their answers and the engines' reports, with their JSON form.
#pragma once

#include "protocol/Ids.h"
#include "protocol/Units.h"

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace lychee {

class FieldReader;

// Most artifacts, and most order ids, that one report or row may hold.
inline constexpr std::size_t maxListedArtifacts = 4096;

// Longest order or answer, in bytes.
inline constexpr std::size_t maxOrderBytes = 16 * 1024;

// Longest report, in bytes.
inline constexpr std::size_t maxReportBytes = 4 * 1024 * 1024;

// What an order asks of an engine.
enum class OrderOperation {
    Load,
    Unload,
    // Raises the engine's fencing number, so that it refuses every order with a lower one.
    Fence,
    SetRole,
};

// One order; each send has an id of its own.
struct EngineOrder {
    OrderId id;
    // Fencing number of the sender.
    FencingNumber fence;
    OrderOperation operation = OrderOperation::Load;
    // Empty for Fence and SetRole.
    ArtifactId artifact;
    // Memory that the artifact needs; zero for Fence and SetRole.
    Bytes bytes;
    // Used by SetRole only.
    std::string role;

    bool operator==(const EngineOrder&) const = default;
};

enum class OrderState {
    // The order took effect. Unloading an artifact that is not resident counts as applied.
    Applied,
    // The order did not take effect and never will.
    Refused,
};

// An engine's own answer to one order.
struct OrderAnswer {
    OrderId id;
    OrderState state = OrderState::Applied;
    // Why the order was refused; empty otherwise.
    std::string reason;

    bool operator==(const OrderAnswer&) const = default;
};

// An artifact and the memory that it takes.
struct ArtifactSize {
    ArtifactId artifact;
    Bytes bytes;

    bool operator==(const ArtifactSize&) const = default;
};

// What an engine says about itself. `incarnation`, `fence`, `resident` and `appliedOrders` describe one instant, which
// may lie before the request; the load numbers may lag further.
struct EngineReport {
    EngineIncarnation incarnation;
    // Highest fencing number that the engine has applied since it started.
    FencingNumber fence;
    Bytes capacity;
    Bytes used;
    std::vector<ArtifactSize> resident;
    std::vector<OrderId> appliedOrders;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t slots = 0;
    double tokensPerSecond = 0;
    // How old the load numbers are.
    std::chrono::milliseconds age{0};

    bool operator==(const EngineReport&) const = default;
};

// Name of an operation as written in JSON.
std::string_view operationName(OrderOperation operation);

// Whether the artifact is an adapter, whose name is MODEL@VERSION:ADAPTER@VERSION.
bool isAdapter(const ArtifactId& artifact);

// JSON form of an order, also used inside rows of table `targets`.
nlohmann::json orderToJson(const EngineOrder& order);

// Reads an order from the fields of `reader`; check `reader` afterwards.
EngineOrder orderFromJson(FieldReader& reader);

// JSON form of a list of artifacts.
nlohmann::json artifactsToJson(const std::vector<ArtifactSize>& artifacts);

// Reads a list of distinct artifacts from `field`; check `reader` afterwards.
std::vector<ArtifactSize> artifactsFromJson(FieldReader& reader, const char* field);

// The encoders write one JSON document. The decoders fail with ProtocolError::Malformed on a document that is too
// long, too deep, not JSON or not UTF-8, or that has a missing, mistyped or out-of-range field.
std::string encodeOrder(const EngineOrder& order);
absl::StatusOr<EngineOrder> decodeOrder(std::string_view document);
std::string encodeOrderAnswer(const OrderAnswer& answer);
absl::StatusOr<OrderAnswer> decodeOrderAnswer(std::string_view document);
std::string encodeReport(const EngineReport& report);
absl::StatusOr<EngineReport> decodeReport(std::string_view document);

} // namespace lychee
