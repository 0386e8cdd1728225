// Orders to engines and their answers.
#pragma once

#include "fleet/TargetRecord.h"

#include <absl/status/statusor.h>

#include <concepts>

namespace lychee::gateway {

enum class EngineOrderKind {
    Load,
    Unload,
};

// Loads or unloads a model, or one adapter of a model that is held. The engine carries it out only while it has
// accepted exactly `expected` orders, so of all orders that were sent for one state at most one takes effect, however
// late it arrives.
struct EngineOrder {
    EngineOrderKind kind = EngineOrderKind::Load;
    ModelId model;
    std::optional<AdapterId> adapter;
    fleet::OrderSequence expected;
    InstanceId holder;
    FencingNumber fence;
};

enum class OrderAnswer {
    // Being carried out.
    Accepted,
    // Done already.
    Done,
    // Another order is under way, or the engine has accepted other orders meanwhile.
    Conflict,
    // The engine has seen a higher fencing number.
    Fenced,
    // The address belongs to another target, or the engine does not hold the model of the adapter.
    Misdirected,
    Rejected,
    // No answer; the order may be carried out later.
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
