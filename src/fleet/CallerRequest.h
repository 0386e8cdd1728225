// The properties of a caller's request that routing depends on; the body is not among them.
#pragma once

#include "protocol/Ids.h"
#include "protocol/Units.h"
#include "transport/RuntimeClock.h"

#include <optional>
#include <string>
#include <vector>

namespace lychee::fleet {

// A section of a prompt that engines cache separately. A cached section can be reused only after the same preceding
// sections.
struct PromptPart {
    std::uint64_t id = 0;
    TokenCount tokens;
};

// What a text generation requires of the engine that runs it.
struct GenerationNeed {
    ModelId model;
    std::optional<AdapterId> adapter;
    // In the order of the prompt. The last part belongs to the request or its session; the others are shared between
    // requests.
    std::vector<PromptPart> parts;
    TokenCount promptTokens;
    // The largest number of output tokens that the caller accepts.
    TokenCount maxOutputTokens;
    // The caller's estimate of the number of output tokens; often wrong.
    std::optional<TokenCount> outputHint;
};

// The key with which a caller shows whose request it sends.
struct CallerCredential {
    // How many keys the request has; one is proper.
    std::size_t count = 0;
    // The first of them. Never logged.
    std::string key;
};

// One attempt of a caller.
struct CallerRequest {
    RequestId attempt;
    std::string host;
    // How long the caller waits for the answer, counted from the arrival of the request.
    std::optional<Duration> patience;
    std::optional<GenerationNeed> generation;
    // Prompt tokens plus the largest number of output tokens, also of requests that are no text generation.
    std::optional<TokenCount> declaredTokens;
    CallerCredential credential;
    // Set when the caller resumes a broken stream: the last event that it has received.
    std::optional<std::uint64_t> resumeAfter;
    // The attempt in which the caller received the first event of that stream; empty when the caller does not say.
    RequestId resumedAttempt;
};

} // namespace lychee::fleet
