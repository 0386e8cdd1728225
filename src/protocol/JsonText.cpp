#include "protocol/JsonText.h"

#include "protocol/ProtocolError.h"

namespace lychee {

namespace {

// Deepest level of brackets outside of strings, counted before parsing so that no deep document is ever built.
int nestingDepth(std::string_view text)
{
    int depth = 0;
    int deepest = 0;
    bool inString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (inString) {
            if (c == '\\')
                ++i;
            else if (c == '"')
                inString = false;
            continue;
        }
        if (c == '"')
            inString = true;
        else if (c == '{' || c == '[')
            deepest = std::max(deepest, ++depth);
        else if (c == '}' || c == ']')
            --depth;
    }
    return deepest;
}

} // namespace

absl::StatusOr<nlohmann::json> parseJson(std::string_view text, int maxDepth)
{
    if (nestingDepth(text) > maxDepth)
        return makeError(ProtocolError::Malformed, fmt::format("JSON is nested deeper than {}", maxDepth));
    nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
    if (document.is_discarded())
        return makeError(ProtocolError::Malformed, "not valid JSON");
    return document;
}

std::string writeJson(const nlohmann::json& document)
{
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace lychee
