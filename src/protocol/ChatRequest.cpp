#include "protocol/ChatRequest.h"

#include "protocol/JsonText.h"
#include "protocol/ProtocolError.h"

namespace lychee {

namespace {

absl::Status malformed(std::string_view reason) { return makeError(ProtocolError::Malformed, reason); }

// Joins the texts of all messages, or fails when a message is not of the schema.
absl::StatusOr<std::string> messageContent(const nlohmann::json& document)
{
    const auto messages = document.find("messages");
    if (messages == document.end() || !messages->is_array() || messages->empty())
        return malformed("'messages' must be a list with at least one message");
    std::string content;
    for (const nlohmann::json& message : *messages) {
        if (!message.is_object() || !message.contains("role") || !message["role"].is_string())
            return malformed("every message needs a 'role'");
        const auto text = message.find("content");
        if (text == message.end())
            return malformed("every message needs 'content'");
        content += message["role"].get<std::string>();
        content += '\n';
        content += text->is_string() ? text->get<std::string>() : writeJson(*text);
        content += '\n';
    }
    return content;
}

absl::StatusOr<std::string> promptContent(const nlohmann::json& document)
{
    const auto prompt = document.find("prompt");
    if (prompt == document.end() || !prompt->is_string())
        return malformed("'prompt' must be a string");
    return prompt->get<std::string>();
}

} // namespace

absl::StatusOr<ChatRequest> ChatRequest::parse(std::string_view body, bool chat)
{
    absl::StatusOr<nlohmann::json> document = parseJson(body);
    if (!document.ok())
        return document.status();
    if (!document->is_object())
        return malformed("the body must be an object");
    const auto model = document->find("model");
    if (model == document->end() || !model->is_string())
        return malformed("'model' must be a string");
    const auto name = model->get<std::string>();
    if (name.empty() || name.size() > maxModelNameLength)
        return malformed(fmt::format("'model' must have 1 to {} bytes", maxModelNameLength));
    const auto stream = document->find("stream");
    if (stream != document->end() && !stream->is_boolean())
        return malformed("'stream' must be true or false");
    absl::StatusOr<std::string> content = chat ? messageContent(*document) : promptContent(*document);
    if (!content.ok())
        return content.status();

    ChatRequest request;
    const std::size_t colon = name.find(':');
    request.model_ = ModelId(name.substr(0, colon));
    if (colon != std::string::npos)
        request.adapter_ = AdapterId(name.substr(colon + 1));
    request.stream_ = stream != document->end() && stream->get<bool>();
    request.content_ = *std::move(content);
    request.document_ = *std::move(document);
    return request;
}

std::string ChatRequest::bodyFor(const ArtifactId& artifact) const
{
    nlohmann::json document = document_;
    document["model"] = artifact.value();
    return writeJson(document);
}

} // namespace lychee
