// Frames for peers that do not read them: what waits is bounded in bytes, for each peer and for all together.
#include "transport/FrameConnection.h"
#include "transport/SocketOperation.h"

#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

namespace lychee {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t frameBytes = 65536;
constexpr std::size_t frames = 500;
constexpr std::size_t peers = 100;

// Frames that wait for one peer, and what sockets hold for it in addition.
constexpr std::size_t bytesOfOnePeer = 1 << 20;
constexpr std::size_t bytesOfSockets = 8 << 20;

class SlowPeerTest : public testing::Test {
protected:
    // Connects without reading from the other side.
    std::shared_ptr<FrameConnection> connect()
    {
        return FrameConnection::connect({"127.0.0.1", listener_->port()}, currentTime() + 1s).value();
    }

    std::shared_ptr<RuntimeClock> clock_ = RuntimeClock::createRunning();
    std::unique_ptr<Duty> duty_ = Duty::start("peers", clock_).value();
    std::vector<std::shared_ptr<FrameConnection>> accepted_;
    std::unique_ptr<FrameListener> listener_
        = FrameListener::listen(*duty_, {"127.0.0.1", 0}, [this](std::shared_ptr<FrameConnection> connection) {
              accepted_.push_back(std::move(connection));
          }).value();
};

// Guards against a queue that is bounded in frames only: 500 frames of 64 KB are 32 MB for one peer.
TEST_F(SlowPeerTest, FramesOfOnePeerAreBoundedInBytes)
{
    std::size_t queued = 0;
    duty_->run([&] {
        const auto connection = connect();
        for (std::size_t i = 0; i < frames; ++i) {
            queued += connection->send(std::string(frameBytes, 'f')).ok() ? frameBytes : 0;
            sleepFor(1ms);
        }
        connection->close();
        accepted_.clear();
    });
    EXPECT_GE(queued, bytesOfOnePeer / 2);
    EXPECT_LE(queued, bytesOfOnePeer + bytesOfSockets);
}

// Guards against slow peers that use up the memory of the machine together, and against peers that keep up and suffer
// from it.
TEST_F(SlowPeerTest, SlowPeersShareABoundAndHarmNoOther)
{
    constexpr std::size_t memory = std::size_t{4} << 20;
    std::size_t received = 0;
    std::size_t closed = 0;
    duty_->run([&] {
        SharedFrame::setMemory(memory);
        std::vector<std::shared_ptr<FrameConnection>> slow;
        for (std::size_t i = 0; i < peers; ++i)
            slow.push_back(connect());
        const auto reader = connect();
        sleepFor(50ms);
        // Reads on the side of the peer that was accepted last.
        duty_->spawn([&, peer = accepted_.back()] {
            while (peer->receive(1s).ok())
                ++received;
        });
        const SharedFrame frame(std::string(frameBytes, 'f'));
        for (std::size_t round = 0; round < frames / 10; ++round) {
            for (const auto& peer : slow)
                peer->send(std::string(frameBytes, 'f')).IgnoreError();
            EXPECT_TRUE(reader->send(frame).ok());
            sleepFor(5ms);
        }
        sleepFor(1200ms);
        for (const auto& peer : slow)
            closed += errorOf<TransportError>(peer->send(frame)) == TransportError::Stopped ? 1 : 0;
        for (const auto& peer : slow)
            peer->close();
        reader->close();
        accepted_.clear();
    });
    EXPECT_EQ(received, frames / 10);
    EXPECT_GT(closed, 0u);
}

// Guards against a peer that counts as silent while a frame of it arrives that takes longer than the limit for silence.
TEST_F(SlowPeerTest, AFrameThatArrivesSlowlyIsNoSilence)
{
    constexpr Duration maxSilence = 300ms;
    constexpr int pieces = 10;
    const std::string piece(100, 'p');
    absl::StatusOr<std::string> slow;
    absl::Status silent;
    duty_->run([&] {
        auto socket = connectSocket("127.0.0.1", listener_->port(), currentTime() + 1s).value();
        while (accepted_.empty())
            sleepFor(1ms);
        duty_->spawn([&] {
            const auto write = [&](std::string_view bytes) {
                boost::asio::write(socket, boost::asio::buffer(bytes.data(), bytes.size()));
            };
            write(std::string_view("\0\0\x03\xe8", 4));
            for (int i = 0; i < pieces; ++i) {
                sleepFor(maxSilence / 4);
                write(piece);
            }
        });
        slow = accepted_.back()->receive(maxSilence);
        silent = accepted_.back()->receive(maxSilence).status();
        accepted_.clear();
    });
    ASSERT_TRUE(slow.ok()) << slow.status();
    EXPECT_EQ(slow->size(), pieces * piece.size());
    EXPECT_EQ(errorOf<TransportError>(silent), TransportError::TimedOut);
}

} // namespace
} // namespace lychee
