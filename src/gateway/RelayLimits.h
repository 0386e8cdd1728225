// Timeouts and limits for relaying requests to targets.
#pragma once

#include "transport/SocketOperation.h"

namespace lychee::gateway {

struct RelayLimits {
    // Targets are a few milliseconds away.
    static constexpr Duration connectTimeout = std::chrono::milliseconds(250);
    // A request that must not run twice reuses a connection only if it has been idle for at most this time. A
    // connection that was idle for longer may have been dropped by a middlebox, which leaves the outcome of a request
    // sent on it unknown.
    static constexpr Duration maxIdleNonRepeatable = std::chrono::milliseconds(800);
    // The same limit for requests that may be sent again.
    static constexpr Duration maxIdleRepeatable = std::chrono::seconds(5);
    // Loading an adapter takes 5 to 10 ms, plus the round trip to the placement owner and the time in its queue.
    static constexpr Duration adapterLoadTimeout = std::chrono::milliseconds(400);
    // A request waits for no further adapter after this time, or after this number of targets on which it could not be
    // loaded.
    static constexpr Duration maxAdapterWait = std::chrono::milliseconds(800);
    static constexpr int maxAdapterRefusals = 6;
    // An engine that is still loading an adapter rejects requests for it; they are sent again after this delay, at most
    // `maxAdapterRetries` times.
    static constexpr Duration adapterRetryDelay = std::chrono::milliseconds(15);
    static constexpr int maxAdapterRetries = 3;
    // The way to the instance that grants requests to a limited target, and back. One that does not answer in this time
    // is probably gone.
    static constexpr Duration grantTimeout = std::chrono::milliseconds(150);
    // A request is held for a grant for at most this time: what a limited target costs more in the choice of a target.
    static constexpr Duration maxGrantWait = std::chrono::milliseconds(400);
    // How often a request that waits for a grant checks whether its caller has left.
    static constexpr Duration grantPollInterval = std::chrono::milliseconds(50);
    // How often a request that waits for a model checks whether it is loaded.
    static constexpr Duration modelPollInterval = std::chrono::milliseconds(50);
    // How often a plain request that is held for a slot checks whether it may be sent.
    static constexpr Duration slotPollInterval = std::chrono::milliseconds(10);
    // Time between the first two attempts to resume an interrupted stream; it doubles up to the limit.
    static constexpr Duration resumeRetryDelay = std::chrono::milliseconds(100);
    static constexpr Duration maxResumeRetryDelay = std::chrono::milliseconds(800);
    // Shortest time to wait for the answer of a target when the request may still be sent to another one. Also the
    // Retry-After of refusals after a failed send or a timeout.
    static constexpr Duration minAnswerTimeout = std::chrono::milliseconds(300);
    // Time for a target to state who it is after its connection ended, before its answer counts as cut; longer than the
    // pauses of sound targets.
    static constexpr Duration identityTimeout = std::chrono::seconds(2);
    // The same where a request waits for it before it is sent again, with the part of it for the answer: a target that
    // accepts connections has probably not crashed, and may have to finish other work before it answers.
    static constexpr Duration crashProbeTimeout = std::chrono::milliseconds(150);
    static constexpr Duration crashAnswerTimeout = std::chrono::milliseconds(50);
    static constexpr int maxCrashProbes = 2;
    static constexpr std::size_t maxIdentityBytes = 262144;
    // The rest of a refusal is read only to reuse its connection.
    static constexpr std::size_t maxRefusalBytes = 65536;
    static constexpr Duration maxRefusalTime = std::chrono::milliseconds(100);
    // Memory for whole answers and incomplete events of all requests together, unless the settings say otherwise, and
    // the part that each request has besides.
    static constexpr std::size_t answerMemory = std::size_t{32} * 1024 * 1024;
    static constexpr std::size_t freeAnswerMemory = 16384;
    // The same for the bodies of requests.
    static constexpr std::size_t requestMemory = std::size_t{16} * 1024 * 1024;
    static constexpr std::size_t freeRequestMemory = 16384;
    // A caller that reads nothing for this time is cut off. Targets close connections that stay unread for some
    // seconds, and such an end must not be taken for a crash, so this is shorter.
    static constexpr Duration slowReaderTimeout = std::chrono::seconds(2);
    // A caller that takes longer to read a whole answer has to give up first when answers use up their memory.
    static constexpr Duration deliveryTime = std::chrono::seconds(1);
    // What the system holds for a caller that reads slowly, and of the answer of a target that is read as slowly for
    // it. The system doubles the numbers. They allow about 10 MB/s on one connection at a round trip of 3 ms.
    static constexpr SocketBuffers callerBuffers{16384, 0};
    static constexpr SocketBuffers targetBuffers{0, 16384};
    // Longest event of a stream; an event holds a few tokens.
    static constexpr std::size_t maxEventBytes = 262144;
    // Retry-After of requests that an instance refuses because it stops; the others are ready for them.
    static constexpr Duration stoppingRetryAfter = std::chrono::milliseconds(10);
    // Retry-After of requests that arrive before the instance has a configuration, or whose service is missing from it.
    // A new instance reads the configuration in less time.
    static constexpr Duration noConfigurationRetryAfter = std::chrono::milliseconds(500);
    // Retry-After of requests without a route while a newer configuration is on its way from a peer.
    static constexpr Duration outdatedConfigurationRetryAfter = std::chrono::milliseconds(300);
    // Time in which the platform has to tell which software version began a stream, and Retry-After when it does not.
    static constexpr Duration originTimeout = std::chrono::milliseconds(800);
    static constexpr Duration originRetryAfter = std::chrono::milliseconds(500);
};

} // namespace lychee::gateway
