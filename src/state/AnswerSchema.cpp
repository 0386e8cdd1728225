#include "state/AnswerSchema.h"

#include "transport/HttpMessage.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>

namespace lychee {

namespace {

// One day; a request that could wait longer is better submitted again.
constexpr double highestPatienceMs = 86'400'000;
// More than any target's memory; the sum over the highest number of sections stays below 2^64.
constexpr double highestBytes = double(std::uint64_t{1} << 48);
constexpr double highestShare = 1e6;
constexpr double highestAdapterLoadsAtOnce = 100'000;
constexpr std::size_t versionLimit = 63;
constexpr std::size_t pathLimit = 256;
constexpr std::size_t digestLength = 64;
// Methods that may carry calls of services; CONNECT and TRACE concern proxies.
constexpr std::string_view methods = "GET,HEAD,POST,PUT,PATCH,DELETE";

using enum AnswerValueType;

constexpr std::array deploymentFields{
    AnswerField{.key = "name", .type = Name, .description = "Names the deployment in reports."},
    AnswerField{.key = "move_weight",
        .type = Real,
        .lowest = 0,
        .highest = 1,
        .fallback = "0.5",
        .description = "Weighs the risk of loading and unloading models (1) against late answers (0)."},
};

constexpr std::array storeFields{
    AnswerField{.key = "model_loads_per_second",
        .type = Real,
        .lowest = 0.01,
        .highest = 1000,
        .fallback = "2",
        .description = "The weight store slows down when more model loads start each second."},
    AnswerField{.key = "model_loads_at_once",
        .type = Count,
        .lowest = 1,
        .highest = 1000,
        .fallback = "8",
        .description = "The weight store keeps its full speed for this many model loads at once."},
    AnswerField{.key = "adapter_loads_at_once",
        .type = Count,
        .lowest = 1,
        .highest = highestAdapterLoadsAtOnce,
        .fallback = "60",
        .description = "Adapter loads slow down in proportion when more are in flight."},
};

constexpr std::array dataCentreFields{
    AnswerField{.key = "region", .type = Name, .description = "Data centres of one region are close to each other."},
};

constexpr std::array teamFields{
    AnswerField{.key = "token_sha256",
        .type = Digest,
        .description = "Identifies the team's callers; only the hash of the token is stored."},
    AnswerField{.key = "share",
        .type = Real,
        .lowest = 0.001,
        .highest = highestShare,
        .fallback = "1",
        .description = "Relative part of the capacity that the team gets when capacity is short."},
};

constexpr std::array classFields{
    AnswerField{.key = "team", .type = Name, .refersTo = "team", .description = "The team whose callers these are."},
    AnswerField{.key = "patience_ms",
        .type = Count,
        .lowest = 1,
        .highest = highestPatienceMs,
        .description = "A request that would wait longer is refused early instead of being answered late."},
    AnswerField{.key = "priority",
        .type = Count,
        .lowest = 0,
        .highest = 9,
        .fallback = "5",
        .description = "Requests of a higher priority are run first on a target."},
};

constexpr std::array modelFields{
    AnswerField{
        .key = "teams", .type = NameList, .refersTo = "team", .description = "Only these teams may call the model."},
    AnswerField{.key = "class",
        .type = Name,
        .refersTo = "class",
        .description = "Gives the patience and priority of requests that name no class."},
    AnswerField{.key = "version", .type = Version, .description = "A new version replaces the old one without a gap."},
    AnswerField{.key = "bytes",
        .type = Size,
        .lowest = 1,
        .highest = highestBytes,
        .description = "Accelerator memory that one copy needs; it is never overcommitted."},
    AnswerField{.key = "share",
        .type = Real,
        .lowest = 0,
        .highest = highestShare,
        .fallback = "1",
        .description = "Expected relative part of the demand; determines the copies until demand is measured."},
};

constexpr std::array adapterFields{
    AnswerField{
        .key = "model", .type = Name, .refersTo = "model", .description = "The model that the adapter extends."},
    AnswerField{.key = "version", .type = Version, .description = "A new version replaces the old one without a gap."},
    AnswerField{.key = "bytes",
        .type = Size,
        .lowest = 1,
        .highest = highestBytes,
        .description = "Accelerator memory that one copy needs; it is never overcommitted."},
};

constexpr std::array serviceFields{
    AnswerField{
        .key = "teams", .type = NameList, .refersTo = "team", .description = "Only these teams may call the service."},
};

constexpr std::array callFields{
    AnswerField{
        .key = "service", .type = Name, .refersTo = "service", .description = "The service that answers the call."},
    AnswerField{
        .key = "method", .type = Choice, .choices = methods, .description = "Distinguishes this call from others."},
    AnswerField{.key = "path_prefix",
        .type = PathPrefix,
        .description = "Distinguishes this call from others; the longest match applies."},
    AnswerField{.key = "idempotent",
        .type = YesNo,
        .description = "Only idempotent calls are retried; any other call runs at most once."},
    AnswerField{.key = "class",
        .type = Name,
        .refersTo = "class",
        .description = "Gives the patience and priority of the call."},
};

constexpr std::array targetFields{
    AnswerField{.key = "kind",
        .type = Choice,
        .choices = "engine,service",
        .description = "An engine runs models; a service answers plain calls."},
    AnswerField{.key = "service",
        .type = Name,
        .refersTo = "service",
        .fallback = "",
        .description = "The service that the target runs; left out for engines."},
    AnswerField{.key = "data_centre",
        .type = Name,
        .refersTo = "data_centre",
        .description = "Targets in the caller's data centre are preferred."},
    AnswerField{.key = "address", .type = Address, .description = "Where the target accepts connections."},
    AnswerField{.key = "memory_bytes",
        .type = Size,
        .lowest = 1,
        .highest = highestBytes,
        .fallback = "",
        .description = "Accelerator memory of an engine; it is never overcommitted. Left out for services."},
    AnswerField{.key = "accelerators",
        .type = Count,
        .lowest = 1,
        .highest = 1024,
        .fallback = "1",
        .description = "Goodput, the requests answered within their patience, is measured per accelerator."},
    AnswerField{.key = "checks_owner",
        .type = YesNo,
        .fallback = "no",
        .description = "Whether the target itself checks which instance sends it an order."},
    AnswerField{.key = "fencing",
        .type = YesNo,
        .fallback = "no",
        .description = "Whether the engine refuses orders with an old fencing number."},
};

constexpr std::array schema{
    AnswerSectionKind{"deployment", false, "The deployment as a whole.", deploymentFields},
    AnswerSectionKind{"store", false, "The weight store, which all instances share.", storeFields},
    AnswerSectionKind{"data_centre", true, "A data centre with targets.", dataCentreFields},
    AnswerSectionKind{"team", true, "A team that calls models and services.", teamFields},
    AnswerSectionKind{"class", true, "A class of callers of a team.", classFields},
    AnswerSectionKind{"model", true, "A model.", modelFields},
    AnswerSectionKind{"adapter", true, "An adapter of a model.", adapterFields},
    AnswerSectionKind{"service", true, "A plain service.", serviceFields},
    AnswerSectionKind{"call", true, "A kind of call of a service.", callFields},
    AnswerSectionKind{"target", true, "An engine or a process of a service.", targetFields},
};

// Sizes of at least this many of a unit are rounded to one decimal, for readability.
constexpr std::uint64_t minRoundedCount = 10;

bool isLowerAlphanumeric(char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9'); }

bool isVersion(std::string_view text)
{
    return !text.empty() && text.size() <= versionLimit && std::all_of(text.begin(), text.end(), [](char c) {
        return isLowerAlphanumeric(c) || (c >= 'A' && c <= 'Z') || c == '.' || c == '_' || c == '-';
    });
}

bool isDigest(std::string_view text)
{
    return text.size() == digestLength && std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
    });
}

bool isPathPrefix(std::string_view text)
{
    return text.starts_with('/') && text.size() <= pathLimit
        && std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~' && c != '?' && c != '#'; });
}

bool isAddress(std::string_view text)
{
    const auto endpoint = Endpoint::parse(text);
    return endpoint && endpoint->port > 0;
}

bool isNameList(std::string_view text)
{
    const std::vector<std::string> names = splitList(text);
    return std::all_of(names.begin(), names.end(), isAnswerName);
}

template <typename Number> std::optional<Number> parseNumber(std::string_view text)
{
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

// A range check that is false for NaN.
template <typename Number> bool inRange(const std::optional<Number>& value, double lowest, double highest)
{
    return value && static_cast<double>(*value) >= lowest && static_cast<double>(*value) <= highest;
}

bool isAllowed(const AnswerField& field, std::string_view value)
{
    switch (field.type) {
    case Name:
        return isAnswerName(value);
    case NameList:
        return isNameList(value);
    case Count:
        return inRange(parseNumber<std::uint64_t>(value), field.lowest, field.highest);
    case Real:
        return inRange(parseNumber<double>(value), field.lowest, field.highest);
    case Size: {
        const auto size = parseSize(value);
        return size && inRange(std::optional(size->value()), field.lowest, field.highest);
    }
    case YesNo:
        return value == "yes" || value == "no";
    case Choice: {
        const std::vector<std::string> words = splitList(field.choices);
        return std::find(words.begin(), words.end(), value) != words.end();
    }
    case Version:
        return isVersion(value);
    case Digest:
        return isDigest(value);
    case PathPrefix:
        return isPathPrefix(value);
    case Address:
        return isAddress(value);
    }
    return false;
}

struct SizeUnit {
    std::string_view name;
    std::uint64_t bytes = 1;
};

constexpr std::array sizeUnits{
    SizeUnit{"TiB", std::uint64_t{1} << 40},
    SizeUnit{"GiB", std::uint64_t{1} << 30},
    SizeUnit{"MiB", std::uint64_t{1} << 20},
    SizeUnit{"KiB", std::uint64_t{1} << 10},
};

std::string_view trimBlanks(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.remove_suffix(1);
    return text;
}

} // namespace

std::string AnswerField::allowed() const
{
    switch (type) {
    case Name:
        return fmt::format("a name of [a-z0-9-], 1 to {} characters", nameLimit);
    case NameList:
        return fmt::format("names of [a-z0-9-], 1 to {} characters each, separated by commas", nameLimit);
    case Count:
        return fmt::format("a whole number from {:.0f} to {:.0f}", lowest, highest);
    case Real:
        return fmt::format("a number from {} to {}", lowest, highest);
    case Size:
        return fmt::format("a size from {} bytes to {}, plain or with KiB, MiB, GiB or TiB",
            static_cast<std::uint64_t>(lowest), formatSize(Bytes(static_cast<std::uint64_t>(highest))));
    case YesNo:
        return "yes or no";
    case Choice:
        return fmt::format("one of {}", choices);
    case Version:
        return fmt::format("a version of [A-Za-z0-9._-], 1 to {} characters", versionLimit);
    case Digest:
        return fmt::format("SHA-256 as {} lower-case hexadecimal digits", digestLength);
    case PathPrefix:
        return fmt::format("a path that begins with /, printable, without ? and #, up to {} characters", pathLimit);
    case Address:
        return "a numeric IP address and a port from 1 to 65535, as 127.0.0.1:8080 or [::1]:8080";
    }
    return "";
}

std::optional<std::string> AnswerField::check(std::string_view value) const
{
    if (value.empty() && fallback && fallback->empty())
        return std::nullopt;
    if (isAllowed(*this, value))
        return std::nullopt;
    return fmt::format("must be {}", allowed());
}

const AnswerField* AnswerSectionKind::find(std::string_view key) const
{
    const auto found = std::find_if(fields.begin(), fields.end(), [&](const auto& field) { return field.key == key; });
    return found == fields.end() ? nullptr : &*found;
}

std::span<const AnswerSectionKind> answerSchema() { return schema; }

const AnswerSectionKind* findSectionKind(std::string_view name)
{
    const auto found = std::find_if(schema.begin(), schema.end(), [&](const auto& kind) { return kind.name == name; });
    return found == schema.end() ? nullptr : &*found;
}

bool isAnswerName(std::string_view text)
{
    return !text.empty() && text.size() <= nameLimit
        && std::all_of(text.begin(), text.end(), [](char c) { return isLowerAlphanumeric(c) || c == '-'; });
}

std::optional<Bytes> parseSize(std::string_view text)
{
    std::uint64_t unit = 1;
    for (const SizeUnit& candidate : sizeUnits) {
        if (!text.ends_with(candidate.name))
            continue;
        unit = candidate.bytes;
        text.remove_suffix(candidate.name.size());
        text = trimBlanks(text);
    }
    const auto number = parseNumber<std::uint64_t>(text);
    constexpr auto highest = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    if (!number || *number > highest / unit)
        return std::nullopt;
    return Bytes(*number * unit);
}

std::string formatSize(Bytes size)
{
    for (const SizeUnit& unit : sizeUnits) {
        const std::uint64_t count = size.value() / unit.bytes;
        if (count > 0 && size.value() % unit.bytes == 0)
            return fmt::format("{} {}", count, unit.name);
        if (count >= minRoundedCount)
            return fmt::format(
                "{:.1f} {}", static_cast<double>(size.value()) / static_cast<double>(unit.bytes), unit.name);
    }
    return fmt::format("{} bytes", size);
}

std::vector<std::string> splitList(std::string_view text)
{
    std::vector<std::string> parts;
    while (true) {
        const std::size_t comma = text.find(',');
        parts.emplace_back(trimBlanks(text.substr(0, comma)));
        if (comma == std::string_view::npos)
            return parts;
        text.remove_prefix(comma + 1);
    }
}

} // namespace lychee
