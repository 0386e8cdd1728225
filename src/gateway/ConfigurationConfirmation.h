// Keeps the knowledge of the configuration confirmed by queries to peers, and answers their queries.
#pragma once

#include "fleet/ConfigurationAge.h"
#include "gateway/MeshMessages.h"

#include <functional>

namespace lychee::gateway {

class ConfigurationConfirmation {
public:
    // What is needed of the control plane. Called on its duty.
    struct Handlers {
        // The version of the row of the configuration that this instance has.
        std::function<RowVersion()> ownRow;
        // The connected placement owner; empty when there is none.
        std::function<InstanceId()> owner;
        // Other connected peers, those that can read the store if there are any.
        std::function<std::vector<InstanceId>()> otherPeers;
        std::function<void(const InstanceId&, const MeshMessage&)> send;
    };

    ConfigurationConfirmation(std::shared_ptr<RuntimeClock> clock, fleet::RevocationOptions options)
        : clock_(std::move(clock))
        , age_(options)
    {
    }

    // Thread-safe, as age() is.
    bool acceptsKeys() const { return age_.acceptsKeys(clock_->nowWithSuspension()); }

    std::optional<Duration> age() const { return age_.age(clock_->nowWithSuspension()); }

    // The other functions are for the control duty. Must be called before them.
    void setHandlers(Handlers handlers) { handlers_ = std::move(handlers); }

    // Runs in a fiber until the duty stops. Returns at once where keys are never refused for the age.
    void run();

    void readAnswered(TimePoint sentAt) { age_.readAnswered(sentAt); }

    // The store was restored from a copy. What was confirmed before holds for the configuration in force here, but says
    // nothing of the row in the copy, which peers compare.
    void storeRestored() { restoredAt_ = clock_->nowWithSuspension(); }

    Duration maxReadWait() const { return age_.maxReadWait(clock_->nowWithSuspension()); }

    bool needsOwnRead() const { return age_.needsOwnRead(clock_->nowWithSuspension()); }

    void handle(const InstanceId& peer, const MeshConfirmationQuery& query);

    void handle(const InstanceId& peer, const MeshConfirmation& answer);

private:
    static constexpr Duration reviewInterval = std::chrono::milliseconds(100);

    void query(TimePoint now);
    InstanceId choosePeer();
    void logChange(TimePoint now);

    // The age of the knowledge of the row that this instance has.
    Duration ageOfRow() const;

    std::shared_ptr<RuntimeClock> clock_;
    fleet::ConfigurationAge age_;
    std::optional<TimePoint> restoredAt_;
    Handlers handlers_;
    // Chooses among the other peers in turn.
    std::size_t turn_ = 0;
    bool accepted_ = false;
    TimePoint changedAt_;
};

} // namespace lychee::gateway
