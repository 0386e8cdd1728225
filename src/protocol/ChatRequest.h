// Requests for completions in the de facto schema.
#pragma once

#include "protocol/Ids.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace lychee {

// The parts of a completion request that the system reads; the rest is passed on as received.
class ChatRequest {
public:
    // Longest accepted model name, in bytes.
    static constexpr std::size_t maxModelNameLength = 256;

    // Parses the body of a request. `chat` tells whether it has messages or a prompt. Fails with
    // ProtocolError::Malformed and a reason for the caller.
    static absl::StatusOr<ChatRequest> parse(std::string_view body, bool chat);

    // The model that is asked for.
    const ModelId& model() const { return model_; }

    // The adapter that is asked for; empty when the model itself is.
    const AdapterId& adapter() const { return adapter_; }

    bool stream() const { return stream_; }

    // The text of the request's messages or prompt, by which prefixes are compared.
    const std::string& content() const { return content_; }

    // The body with its model replaced by the artifact that the engine has loaded.
    std::string bodyFor(const ArtifactId& artifact) const;

private:
    ChatRequest() = default;

    nlohmann::json document_;
    ModelId model_;
    AdapterId adapter_;
    bool stream_ = false;
    std::string content_;
};

} // namespace lychee
