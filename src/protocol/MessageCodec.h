// Encodes messages between instances with msgpack: an array of version, type and fields. A message type lists its
// members by a function fields(); a protocol is a std::variant of its message types.
#pragma once

#include "protocol/ProtocolError.h"
#include "protocol/StrongType.h"

#include <absl/status/statusor.h>

#include <msgpack.hpp>

#include <cmath>
#include <limits>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

namespace lychee {

// The highest enumerator of an enum that is sent; specialized beside the enum.
template <typename Enum> struct LastEnumerator;

// Packs and unpacks the fields of messages. Unpacking checks types, ranges and lengths.
class MessageCodec {
public:
    using Packer = msgpack::packer<msgpack::sbuffer>;

    template <typename Message> static std::string encode(std::uint64_t version, const Message& message)
    {
        msgpack::sbuffer buffer;
        Packer packer(buffer);
        packer.pack_array(envelopeSize);
        packer.pack(version);
        packer.pack(static_cast<std::uint64_t>(message.index()));
        std::visit(
            [&](auto value) {
                // fields() ties to members, so it needs a value that may change.
                packTuple(packer, value.fields());
            },
            message);
        return {buffer.data(), buffer.size()};
    }

    // Fails with ProtocolError::Malformed, UnknownType or VersionUnsupported.
    template <typename Message> static absl::StatusOr<Message> decode(std::uint64_t version, std::string_view payload)
    {
        const msgpack::unpack_limit limit(
            maxListLength, maxListLength, payload.size(), payload.size(), payload.size(), maxDepth);
        try {
            std::size_t offset = 0;
            const msgpack::object_handle handle
                = msgpack::unpack(payload.data(), payload.size(), offset, nullptr, nullptr, limit);
            if (offset != payload.size())
                return makeError(ProtocolError::Malformed, "bytes follow the message");
            return decodeObject<Message>(version, handle.get());
        } catch (const std::exception& exception) {
            return makeError(ProtocolError::Malformed, exception.what());
        }
    }

private:
    // Version, type, fields.
    static constexpr std::uint32_t envelopeSize = 3;

    // Longest list in a message.
    static constexpr std::uint32_t maxListLength = 65536;

    // Deepest nesting of a message; the deepest one that is sent has six levels.
    static constexpr std::size_t maxDepth = 8;

    template <typename Tuple> static void packTuple(Packer& packer, Tuple&& tuple)
    {
        packer.pack_array(static_cast<std::uint32_t>(std::tuple_size_v<std::decay_t<Tuple>>));
        std::apply([&](auto&... fields) { (packValue(packer, fields), ...); }, tuple);
    }

    template <typename Tag> static void packValue(Packer& packer, StrongId<Tag>& id) { packer.pack(id.value()); }

    template <typename Tag, typename Number> static void packValue(Packer& packer, StrongNumber<Tag, Number>& number)
    {
        packer.pack(number.value());
    }

    template <typename T> static void packValue(Packer& packer, std::vector<T>& list)
    {
        packer.pack_array(static_cast<std::uint32_t>(list.size()));
        for (T& item : list)
            packValue(packer, item);
    }

    template <typename T> static void packValue(Packer& packer, T& value)
    {
        if constexpr (requires { value.fields(); })
            packTuple(packer, value.fields());
        else if constexpr (std::is_enum_v<T>)
            packer.pack(static_cast<std::uint64_t>(value));
        else
            packer.pack(value);
    }

    template <typename Tuple> static bool unpackTuple(const msgpack::object& object, Tuple&& tuple)
    {
        if (object.type != msgpack::type::ARRAY || object.via.array.size != std::tuple_size_v<std::decay_t<Tuple>>)
            return false;
        const msgpack::object* item = object.via.array.ptr;
        return std::apply([&](auto&... fields) { return (unpackValue(*item++, fields) && ...); }, tuple);
    }

    static bool unpackValue(const msgpack::object& object, std::string& text)
    {
        if (object.type != msgpack::type::STR)
            return false;
        text.assign(object.via.str.ptr, object.via.str.size);
        return true;
    }

    static bool unpackValue(const msgpack::object& object, bool& flag)
    {
        if (object.type != msgpack::type::BOOLEAN)
            return false;
        flag = object.via.boolean;
        return true;
    }

    // Numbers with a fraction are amounts, which are finite and not negative.
    static bool unpackValue(const msgpack::object& object, double& number)
    {
        if (object.type == msgpack::type::POSITIVE_INTEGER)
            number = static_cast<double>(object.via.u64);
        else if (object.type == msgpack::type::FLOAT64 || object.type == msgpack::type::FLOAT32)
            number = object.via.f64;
        else
            return false;
        return std::isfinite(number) && number >= 0;
    }

    static bool unpackValue(const msgpack::object& object, std::int64_t& number)
    {
        if (object.type == msgpack::type::NEGATIVE_INTEGER)
            number = object.via.i64;
        else if (object.type == msgpack::type::POSITIVE_INTEGER
            && object.via.u64 <= std::numeric_limits<std::int64_t>::max())
            number = static_cast<std::int64_t>(object.via.u64);
        else
            return false;
        return true;
    }

    template <typename Tag> static bool unpackValue(const msgpack::object& object, StrongId<Tag>& id)
    {
        std::string text;
        if (!unpackValue(object, text))
            return false;
        id = StrongId<Tag>(std::move(text));
        return true;
    }

    template <typename Tag, typename Number>
    static bool unpackValue(const msgpack::object& object, StrongNumber<Tag, Number>& number)
    {
        Number value = 0;
        if (!unpackValue(object, value))
            return false;
        number = StrongNumber<Tag, Number>(value);
        return true;
    }

    template <typename T> static bool unpackValue(const msgpack::object& object, std::vector<T>& list)
    {
        if (object.type != msgpack::type::ARRAY || object.via.array.size > maxListLength)
            return false;
        list.clear();
        for (std::uint32_t i = 0; i < object.via.array.size; ++i) {
            if (!unpackValue(object.via.array.ptr[i], list.emplace_back()))
                return false;
        }
        return true;
    }

    template <typename T> static bool unpackValue(const msgpack::object& object, T& value)
    {
        if constexpr (requires { value.fields(); }) {
            return unpackTuple(object, value.fields());
        } else if constexpr (std::is_enum_v<T>) {
            std::uint64_t number = 0;
            if (!unpackValue(object, number) || number > static_cast<std::uint64_t>(LastEnumerator<T>::value))
                return false;
            value = static_cast<T>(number);
            return true;
        } else {
            static_assert(std::is_unsigned_v<T>);
            if (object.type != msgpack::type::POSITIVE_INTEGER || object.via.u64 > std::numeric_limits<T>::max())
                return false;
            value = static_cast<T>(object.via.u64);
            return true;
        }
    }

    // Builds the message type at position `type` from its fields.
    template <typename Message, std::size_t Index = 0>
    static bool unpackMessage(std::uint64_t type, const msgpack::object& fields, Message& message)
    {
        if constexpr (Index < std::variant_size_v<Message>) {
            if (type != Index)
                return unpackMessage<Message, Index + 1>(type, fields, message);
            std::variant_alternative_t<Index, Message> value;
            if (!unpackTuple(fields, value.fields()))
                return false;
            message = std::move(value);
            return true;
        } else {
            return false;
        }
    }

    template <typename Message>
    static absl::StatusOr<Message> decodeObject(std::uint64_t supported, const msgpack::object& envelope)
    {
        if (envelope.type != msgpack::type::ARRAY || envelope.via.array.size != envelopeSize)
            return makeError(ProtocolError::Malformed, "not an envelope");
        const msgpack::object* parts = envelope.via.array.ptr;
        std::uint64_t version = 0;
        std::uint64_t type = 0;
        if (!unpackValue(parts[0], version) || !unpackValue(parts[1], type))
            return makeError(ProtocolError::Malformed, "version and type must be numbers");
        if (version != supported)
            return makeError(ProtocolError::VersionUnsupported, fmt::format("version {}", version));
        if (type >= std::variant_size_v<Message>)
            return makeError(ProtocolError::UnknownType, fmt::format("type {}", type));
        Message message;
        if (!unpackMessage(type, parts[2], message))
            return makeError(ProtocolError::Malformed, fmt::format("fields of type {}", type));
        return message;
    }
};

} // namespace lychee
