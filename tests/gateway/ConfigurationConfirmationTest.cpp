// Confirmation of the configuration between instances while the store is restored from a copy.
#include "gateway/ConfigurationConfirmation.h"
#include "gateway/StoreEra.h"

#include <gtest/gtest.h>

namespace lychee::gateway {
namespace {

using namespace std::chrono_literals;

class ConfigurationConfirmationTest : public testing::Test {
protected:
    // An instance with its row of the configuration, and the age that it last stated to a peer.
    struct Instance {
        explicit Instance(const std::shared_ptr<RuntimeClock>& clock)
            : confirmation(clock, {true, 5s})
        {
            confirmation.setHandlers(
                {[this] { return row; }, [] { return InstanceId(); }, [] { return std::vector<InstanceId>(); },
                    [this](const InstanceId&, const MeshMessage& message) {
                        stated = std::get<MeshConfirmation>(message);
                    }});
        }

        ConfigurationConfirmation confirmation;
        RowVersion row;
        MeshConfirmation stated;
    };

    // Whether the peer's statement to the other instance would confirm its row.
    bool confirms(Instance& peer)
    {
        peer.confirmation.handle(InstanceId("started"), MeshConfirmationQuery{1});
        return fromMessage(peer.stated).age <= Duration(5s);
    }

    static RowVersion row(std::uint64_t era, std::uint64_t counter) { return rowVersionIn(StoreEra(era), counter); }

    std::shared_ptr<RuntimeClock> clock_ = RuntimeClock::createPaused();
};

// Guards against a peer that vouches for the older row of a restored store by what was confirmed before of a newer one:
// an instance that had just started accepted a key that had been taken away.
TEST_F(ConfigurationConfirmationTest, WhatWasConfirmedBeforeARestorationDoesNotVouchForTheCopy)
{
    clock_->advance(10s);
    Instance peer(clock_);
    peer.row = row(0, 14);
    peer.confirmation.readAnswered(clock_->nowWithSuspension());
    clock_->advance(1s);
    EXPECT_TRUE(confirms(peer));
    peer.row = row(1, 1);
    peer.confirmation.storeRestored();
    EXPECT_FALSE(confirms(peer));
    // Its own knowledge stays.
    EXPECT_TRUE(peer.confirmation.acceptsKeys());
    clock_->advance(2s);
    peer.confirmation.readAnswered(clock_->nowWithSuspension() - 500ms);
    EXPECT_TRUE(confirms(peer));
}

} // namespace
} // namespace lychee::gateway
