// Orders to engines, and the answers to them.
#pragma once

#include "fleet/TargetRecord.h"

#include <absl/status/statusor.h>

#include <concepts>

namespace lychee::gateway {

enum class EngineOrderKind {
    Load,
    Unload,
};

// Loads or unloads a model, or one adapter of a loaded model. The engine executes the order only if it has accepted
// exactly `expected` orders before. So at most one of several orders with the same `expected` takes effect, however
// late they arrive.
struct EngineOrder {
    EngineOrderKind kind = EngineOrderKind::Load;
    ModelId model;
    std::optional<AdapterId> adapter;
    fleet::OrderSequence expected;
    InstanceId holder;
    FencingNumber fence;
};

enum class OrderAnswer {
    // The engine is executing the order.
    Accepted,
    // The engine has completed the order, or its result already existed.
    Done,
    // Another order is in progress, or the engine has accepted other orders in the meantime.
    Conflict,
    // The engine has seen a higher fencing number.
    Fenced,
    // The address belongs to another target, or the engine does not hold the model of the adapter.
    Misdirected,
    Rejected,
    // No answer; the order may still be executed later.
    Unanswered,
    // No byte was sent.
    NotSent,
};

std::string_view nameOf(OrderAnswer answer);

// Sends orders to engines and reads their state. Reports fail with CoordinationError::PlatformUnreachable.
template <typename Channel>
concept EngineChannel
    = requires(Channel channel, const fleet::TargetRecord& target, const EngineOrder& order, TimePoint deadline)
{
    {
        channel.send(target, order, deadline)
        } -> std::same_as<OrderAnswer>;
    {
        channel.report(target, deadline)
        } -> std::same_as<absl::StatusOr<fleet::EngineReport>>;
};

} // namespace lychee::gateway
