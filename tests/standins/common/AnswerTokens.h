// Pure functions that compute the answers of the engine stand-in, so that tests can compute a complete expected answer.
#pragma once

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lychee::standin {

// FNV-1a over 64 bits, started from `seed` so that hashes can be chained.
inline std::uint64_t fnv1a(std::string_view text, std::uint64_t seed = 14695981039346656037ULL)
{
    std::uint64_t hash = seed;
    for (const char c : text) {
        hash ^= static_cast<unsigned char>(c);
        hash *= 1099511628211ULL;
    }
    return hash;
}

// Spreads a change of any bit over all bits, which FNV-1a does not do for the last characters.
inline std::uint64_t mixBits(std::uint64_t hash)
{
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdULL;
    return hash ^ (hash >> 33);
}

// The name callers use for an artifact or model name: `M@V` gives `M` and `M@V:A@W` gives `M:A`. Tokens depend on this
// name, so that an instance may rewrite a model name to an artifact name without a change of the answer.
inline std::string callerName(std::string_view model)
{
    const std::size_t at = model.find('@');
    if (at == std::string_view::npos)
        return std::string(model);
    const std::size_t colon = model.find(':', at);
    std::string name(model.substr(0, at));
    if (colon != std::string_view::npos) {
        const std::string_view adapter = model.substr(colon);
        name += adapter.substr(0, adapter.find('@'));
    }
    return name;
}

// The content of a request body: each message as "ROLE\nCONTENT\n", or the prompt. Values other than strings
// are written as compact JSON.
inline std::string requestContent(const nlohmann::json& body)
{
    const auto text
        = [](const nlohmann::json& value) { return value.is_string() ? value.get<std::string>() : value.dump(); };
    if (!body.contains("messages"))
        return body.contains("prompt") ? text(body["prompt"]) : std::string();
    std::string content;
    for (const auto& message : body["messages"]) {
        content += text(message.value("role", nlohmann::json("")));
        content += '\n';
        content += text(message.value("content", nlohmann::json("")));
        content += '\n';
    }
    return content;
}

// Token `index` (from 1) of the answer: "INDEX:HHHH " with HHHH from a hash of the caller name, content and index.
inline std::string answerToken(std::string_view model, std::string_view content, std::uint64_t index)
{
    std::uint64_t hash = fnv1a(content, fnv1a("\n", fnv1a(callerName(model))));
    hash = fnv1a(std::to_string(index), fnv1a("\n", hash));
    return fmt::format("{}:{:04x} ", index, mixBits(hash) & 0xffff);
}

// The answer to `body` with `tokens` tokens, after the first `skip` of them.
inline std::string expectedAnswer(const nlohmann::json& body, std::uint64_t tokens, std::uint64_t skip = 0)
{
    const std::string model = body.value("model", "");
    const std::string content = requestContent(body);
    std::string answer;
    for (std::uint64_t index = skip + 1; index <= tokens; ++index)
        answer += answerToken(model, content, index);
    return answer;
}

constexpr std::size_t prefixBlockBytes = 256;
constexpr std::size_t maxPrefixBlocks = 16;

// The `prefix_hash` values of a request: for each whole block of 256 bytes of the content (at most 16) the FNV-1a hash
// of the caller name, a newline and the content up to the end of that block, in 16 lower-case hex digits.
inline std::vector<std::string> prefixHashes(std::string_view model, std::string_view content)
{
    std::vector<std::string> hashes;
    std::uint64_t hash = fnv1a("\n", fnv1a(callerName(model)));
    while (content.size() >= prefixBlockBytes && hashes.size() < maxPrefixBlocks) {
        hash = fnv1a(content.substr(0, prefixBlockBytes), hash);
        hashes.push_back(fmt::format("{:016x}", hash));
        content.remove_prefix(prefixBlockBytes);
    }
    return hashes;
}

} // namespace lychee::standin
