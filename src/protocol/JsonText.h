// Bounded parsing and safe writing of JSON.
#pragma once

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace lychee {

// Deepest nesting that is accepted; deeper documents could exhaust a fiber's stack when they are written again.
inline constexpr int maxJsonDepth = 64;

// Parses a document. Fails with ProtocolError::Malformed on bad syntax, bad UTF-8 or nesting deeper than `maxDepth`.
absl::StatusOr<nlohmann::json> parseJson(std::string_view text, int maxDepth = maxJsonDepth);

// Writes a document; bytes that are not UTF-8 are replaced, because the library throws on them otherwise.
std::string writeJson(const nlohmann::json& document);

} // namespace lychee
