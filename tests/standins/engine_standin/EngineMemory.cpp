#include "tests/standins/engine_standin/EngineMemory.h"

#include "tests/standins/common/AnswerTokens.h"

namespace lychee::standin {

using nlohmann::json;

namespace {

// Limit of each order list in a report; the oldest orders are dropped.
constexpr std::size_t maxReportedOrders = 4096;

void appendBounded(std::deque<json>& list, const json& id)
{
    list.push_back(id);
    if (list.size() > maxReportedOrders)
        list.pop_front();
}

} // namespace

std::string modelOf(const std::string& artifact) { return artifact.substr(0, artifact.find(':')); }

Order Order::parse(const json& json)
{
    Order order;
    order.id = json.at("order_id");
    order.fence = json.value("fence", std::uint64_t{0});
    order.operation = json.at("op").get<std::string>();
    order.artifact = json.value("artifact", "");
    order.bytes = json.value("bytes", std::uint64_t{0});
    order.role = json.value("role", "");
    return order;
}

EngineMemory::EngineMemory(std::uint64_t capacityBytes, bool honourFencing, Transfer transfer)
    : capacityBytes_(capacityBytes)
    , transfer_(std::move(transfer))
    , honourFencing_(honourFencing)
{
}

std::optional<std::string> EngineMemory::apply(const Order& order)
{
    Lock lock(mutex_);
    if (!seenOrders_.insert(order.id.dump()).second)
        ++duplicateOrders_;
    Refusal refusal = applyOperation(lock, order);
    record(order, !refusal.has_value());
    return refusal;
}

void EngineMemory::setHonourFencing(bool honour)
{
    const std::lock_guard lock(mutex_);
    honourFencing_ = honour;
}

std::optional<std::string> EngineMemory::use(const std::string& model)
{
    const std::lock_guard lock(mutex_);
    auto artifact = findResident(model);
    if (!artifact)
        return std::nullopt;
    ++artifacts_[*artifact].users;
    return artifact;
}

bool EngineMemory::has(const std::string& model) const
{
    const std::lock_guard lock(mutex_);
    return findResident(model).has_value();
}

void EngineMemory::release(const std::string& artifact)
{
    const std::lock_guard lock(mutex_);
    --artifacts_[artifact].users;
    changed_.notify_all();
}

void EngineMemory::addToReport(json& report) const
{
    const std::lock_guard lock(mutex_);
    json resident = json::array();
    json loading = json::array();
    for (const auto& [name, artifact] : artifacts_)
        (artifact.state == State::Loading ? loading : resident)
            .push_back({{"artifact", name}, {"bytes", artifact.bytes}});
    report["fence"] = fence_;
    report["capacity_bytes"] = capacityBytes_;
    report["used_bytes"] = usedBytes();
    report["resident"] = std::move(resident);
    report["loading"] = std::move(loading);
    report["applied_orders"] = appliedOrders_;
    report["refused_orders"] = refusedOrders_;
    report["role"] = role_;
}

void EngineMemory::addToStats(json& stats) const
{
    const std::lock_guard lock(mutex_);
    stats["overcommits"] = overcommits_;
    stats["peak_used_bytes"] = peakBytes_;
    stats["used_bytes"] = usedBytes();
    stats["changes"] = changes_;
    stats["fenced_orders"] = fenced_;
    stats["duplicate_orders"] = duplicateOrders_;
}

EngineMemory::Refusal EngineMemory::applyOperation(Lock& lock, const Order& order)
{
    if (isFenced(order)) {
        ++fenced_;
        return "fence";
    }
    if (order.operation == "load")
        return load(lock, order);
    if (order.operation == "unload")
        return unload(lock, order);
    if (order.operation == "fence")
        return raiseFence(order);
    if (order.operation == "set_role") {
        role_ = order.role;
        return std::nullopt;
    }
    return "unknown operation";
}

EngineMemory::Refusal EngineMemory::load(Lock& lock, const Order& order)
{
    waitUntilSettled(lock, order.artifact);
    if (isFenced(order)) {
        ++fenced_;
        return "fence";
    }
    if (isResident(order.artifact))
        return std::nullopt;
    if (const std::string model = modelOf(order.artifact); model != order.artifact && !isResident(model))
        return "model not resident";
    const std::uint64_t number = ++lastLoad_;
    reserve(order, number);
    lock.unlock();
    const bool transferred = transfer_(order.artifact, order.bytes);
    lock.lock();
    const auto found = artifacts_.find(order.artifact);
    if (found == artifacts_.end() || found->second.loadNumber != number)
        return "fence";
    changed_.notify_all();
    if (!transferred) {
        artifacts_.erase(found);
        return "weight store failed";
    }
    found->second.state = State::Resident;
    return std::nullopt;
}

EngineMemory::Refusal EngineMemory::unload(Lock& lock, const Order& order)
{
    waitUntilSettled(lock, order.artifact);
    if (isFenced(order)) {
        ++fenced_;
        return "fence";
    }
    if (!isResident(order.artifact))
        return std::nullopt;
    if (hasAdapters(order.artifact))
        return "adapters resident";
    // Running requests finish first; new requests no longer find the artifact.
    artifacts_[order.artifact].state = State::Unloading;
    changed_.wait(lock, [&] { return artifacts_[order.artifact].users == 0; });
    artifacts_.erase(order.artifact);
    ++changes_;
    changed_.notify_all();
    return std::nullopt;
}

EngineMemory::Refusal EngineMemory::raiseFence(const Order& order)
{
    if (!honourFencing_)
        return std::nullopt;
    fence_ = std::max(fence_, order.fence);
    // An acknowledged fence means that no older load takes effect later, so older transfers are aborted.
    const auto aborted = std::erase_if(artifacts_,
        [&](const auto& entry) { return entry.second.state == State::Loading && entry.second.fence < order.fence; });
    fenced_ += aborted;
    changed_.notify_all();
    return std::nullopt;
}

bool EngineMemory::isFenced(const Order& order) const { return honourFencing_ && order.fence < fence_; }

void EngineMemory::waitUntilSettled(Lock& lock, const std::string& artifact)
{
    changed_.wait(lock, [&] {
        const auto found = artifacts_.find(artifact);
        return found == artifacts_.end() || found->second.state == State::Resident;
    });
}

void EngineMemory::reserve(const Order& order, std::uint64_t loadNumber)
{
    artifacts_[order.artifact] = {order.bytes, State::Loading, loadNumber, order.fence, 0};
    ++changes_;
    const std::uint64_t used = usedBytes();
    peakBytes_ = std::max(peakBytes_, used);
    if (used > capacityBytes_)
        ++overcommits_;
}

bool EngineMemory::isResident(const std::string& artifact) const
{
    const auto found = artifacts_.find(artifact);
    return found != artifacts_.end() && found->second.state == State::Resident;
}

bool EngineMemory::hasAdapters(const std::string& model) const
{
    return std::any_of(artifacts_.begin(), artifacts_.end(),
        [&](const auto& entry) { return entry.first != model && modelOf(entry.first) == model; });
}

std::uint64_t EngineMemory::usedBytes() const
{
    std::uint64_t used = 0;
    for (const auto& [name, artifact] : artifacts_)
        used += artifact.bytes;
    return used;
}

std::optional<std::string> EngineMemory::findResident(const std::string& model) const
{
    if (isResident(model))
        return model;
    for (const auto& [name, artifact] : artifacts_) {
        if (artifact.state == State::Resident && callerName(name) == model)
            return name;
    }
    return std::nullopt;
}

void EngineMemory::record(const Order& order, bool applied)
{
    appendBounded(applied ? appliedOrders_ : refusedOrders_, order.id);
}

} // namespace lychee::standin
