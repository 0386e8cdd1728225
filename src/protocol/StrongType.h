// Strong types: a value of one kind is never passed where another kind is meant.
#pragma once

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace lychee {

// A string that names one kind of thing, told apart by Tag.
template <typename Tag> class StrongId {
public:
    StrongId() = default;

    explicit StrongId(std::string value)
        : value_(std::move(value))
    {
    }

    const std::string& value() const { return value_; }

    bool empty() const { return value_.empty(); }

    // Written out, because clang-tidy reports a defaulted comparison as a null pointer (modernize-use-nullptr).
    std::strong_ordering operator<=>(const StrongId& other) const { return value_ <=> other.value_; }

    bool operator==(const StrongId&) const = default;

private:
    std::string value_;
};

// An integer of one kind, told apart by Tag, with the arithmetic of a quantity or counter.
template <typename Tag, typename Number = std::uint64_t> class StrongNumber {
public:
    constexpr StrongNumber() = default;

    constexpr explicit StrongNumber(Number value)
        : value_(value)
    {
    }

    constexpr Number value() const { return value_; }

    constexpr auto operator<=>(const StrongNumber&) const = default;

    constexpr StrongNumber operator+(StrongNumber other) const { return StrongNumber(value_ + other.value_); }

    constexpr StrongNumber operator-(StrongNumber other) const { return StrongNumber(value_ - other.value_); }

    constexpr StrongNumber& operator+=(StrongNumber other)
    {
        value_ += other.value_;
        return *this;
    }

    constexpr StrongNumber& operator-=(StrongNumber other)
    {
        value_ -= other.value_;
        return *this;
    }

    // The number that follows this one.
    constexpr StrongNumber next() const { return StrongNumber(value_ + 1); }

private:
    Number value_ = 0;
};

template <typename Tag> std::ostream& operator<<(std::ostream& stream, const StrongId<Tag>& id)
{
    return stream << id.value();
}

template <typename Tag, typename Number>
std::ostream& operator<<(std::ostream& stream, StrongNumber<Tag, Number> number)
{
    return stream << number.value();
}

template <typename Tag> void to_json(nlohmann::json& json, const StrongId<Tag>& id) { json = id.value(); }

template <typename Tag> void from_json(const nlohmann::json& json, StrongId<Tag>& id)
{
    id = StrongId<Tag>(json.get<std::string>());
}

template <typename Tag, typename Number> void to_json(nlohmann::json& json, StrongNumber<Tag, Number> number)
{
    json = number.value();
}

template <typename Tag, typename Number> void from_json(const nlohmann::json& json, StrongNumber<Tag, Number>& number)
{
    number = StrongNumber<Tag, Number>(json.get<Number>());
}

} // namespace lychee

template <typename Tag> struct std::hash<lychee::StrongId<Tag>> {
    std::size_t operator()(const lychee::StrongId<Tag>& id) const { return std::hash<std::string>()(id.value()); }
};

template <typename Tag, typename Number> struct std::hash<lychee::StrongNumber<Tag, Number>> {
    std::size_t operator()(lychee::StrongNumber<Tag, Number> number) const
    {
        return std::hash<Number>()(number.value());
    }
};

template <typename Tag> struct fmt::formatter<lychee::StrongId<Tag>> : fmt::formatter<std::string> {
    template <typename Context> auto format(const lychee::StrongId<Tag>& id, Context& context) const
    {
        return fmt::format_to(context.out(), "{}", id.value());
    }
};

template <typename Tag, typename Number>
struct fmt::formatter<lychee::StrongNumber<Tag, Number>> : fmt::formatter<Number> {
    template <typename Context> auto format(lychee::StrongNumber<Tag, Number> number, Context& context) const
    {
        return fmt::format_to(context.out(), "{}", number.value());
    }
};
