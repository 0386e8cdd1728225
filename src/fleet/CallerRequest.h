// A caller's request as routing sees it, without its body.
#pragma once

#include "protocol/Ids.h"
#include "protocol/Units.h"
#include "transport/RuntimeClock.h"

#include <optional>
#include <string>
#include <vector>

namespace lychee::fleet {

// A part of a prompt that may be cached by itself after the parts before it.
struct PromptPart {
    std::uint64_t id = 0;
    TokenCount tokens;
};

// What a generation needs of its engine.
struct GenerationNeed {
    ModelId model;
    std::optional<AdapterId> adapter;
    // In order; the last one belongs to the request or its session, the others are shared between requests.
    std::vector<PromptPart> parts;
    TokenCount promptTokens;
    // The most that the caller accepts.
    TokenCount maxOutputTokens;
    // The caller's estimate of the output; often wrong.
    std::optional<TokenCount> outputHint;
};

// One attempt of a caller.
struct CallerRequest {
    RequestId attempt;
    std::string host;
    // How long the caller will wait, from the arrival of the request.
    std::optional<Duration> patience;
    std::optional<GenerationNeed> generation;
    // The caller continues a stream after this event.
    std::optional<std::uint64_t> resumeAfter;
};

} // namespace lychee::fleet
