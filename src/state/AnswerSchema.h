// The questions of the questionnaire: sections, keys, allowed ranges, defaults, and description each is asked.
#pragma once

#include "protocol/Units.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lychee {

// The longest name of a team, model, target and so on, in bytes.
inline constexpr std::size_t nameLimit = 63;

// The type of an answer.
enum class AnswerValueType {
    // [a-z0-9-].
    Name,
    // Names separated by commas.
    NameList,
    // A whole number between the bounds.
    Count,
    // A number between the bounds.
    Real,
    // A number of bytes between the bounds, with an optional KiB, MiB, GiB or TiB.
    Size,
    YesNo,
    // One of the words of `choices`.
    Choice,
    // [A-Za-z0-9._-].
    Version,
    // 64 lower-case hexadecimal digits.
    Digest,
    // An absolute path without a query.
    PathPrefix,
    // Numeric address and port.
    Address,
};

// One question. A declaration is shared by the parser, the explanation and the questionnaire.
struct AnswerField {
    std::string_view key;
    AnswerValueType type = AnswerValueType::Name;
    double lowest = 0;
    double highest = 0;
    // Allowed words, separated by commas.
    std::string_view choices;
    // Kind of section whose names are allowed; empty when the answer names nothing.
    std::string_view refersTo;
    // The value that stands for an absent key; nothing when the key is required.
    std::optional<std::string_view> fallback;
    std::string_view description;

    // The allowed range as a person reads it.
    std::string allowed() const;

    // Why `value` is not allowed; nothing when it is. References are not checked.
    std::optional<std::string> check(std::string_view value) const;
};

// One kind of section, for example [team NAME].
struct AnswerSectionKind {
    std::string_view name;
    // Whether the section carries a name, so that it may appear several times.
    bool named = true;
    std::string_view description;
    std::span<const AnswerField> fields;

    // The field with this key; null when there is none.
    const AnswerField* find(std::string_view key) const;
};

// All kinds of sections in the order in which the questionnaire asks them.
std::span<const AnswerSectionKind> answerSchema();

// The kind with this name; null when there is none.
const AnswerSectionKind* findSectionKind(std::string_view name);

// Whether `text` is a name of [a-z0-9-] of 1 to nameLimit bytes.
bool isAnswerName(std::string_view text);

// Parses a size such as 1024, 16 MiB or 80GiB; nothing when malformed or above 2^63 bytes.
std::optional<Bytes> parseSize(std::string_view text);

// A size for people: in the largest unit that divides it, or rounded to one decimal.
std::string formatSize(Bytes size);

// The names of a comma-separated list, without blanks around them.
std::vector<std::string> splitList(std::string_view text);

} // namespace lychee
