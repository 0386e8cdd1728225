// The written form of each message between instances. Builds of two landings run side by side in an upgrade, and a
// connection ends at the first message that one of them cannot read.
#include "gateway/MeshMessages.h"

#include <absl/strings/escaping.h>

#include <gtest/gtest.h>

#include <fstream>

namespace lychee::gateway {
namespace {

// Gives each field a value of its own, and each list two entries.
class SampleFiller {
public:
    template <typename T> void fill(T& value)
    {
        if constexpr (requires { value.fields(); })
            std::apply([this](auto&... fields) { (this->fill(fields), ...); }, value.fields());
        else if constexpr (std::is_same_v<T, bool>)
            value = ++count_ % 2 == 0;
        else if constexpr (std::is_same_v<T, double>)
            value = ++count_ + 0.25;
        else if constexpr (std::is_enum_v<T>)
            value = T(0);
        else
            value = static_cast<T>(++count_);
    }

    void fill(std::string& text) { text = fmt::format("text-{}", ++count_); }

    template <typename Tag> void fill(StrongId<Tag>& id) { id = StrongId<Tag>(fmt::format("id-{}", ++count_)); }

    template <typename Tag, typename Number> void fill(StrongNumber<Tag, Number>& number)
    {
        number = StrongNumber<Tag, Number>(static_cast<Number>(++count_));
    }

    template <typename T> void fill(std::vector<T>& list)
    {
        list.resize(2);
        for (T& entry : list)
            fill(entry);
    }

private:
    int count_ = 0;
};

template <std::size_t... Kinds> std::vector<MeshMessage> samplesOf(std::index_sequence<Kinds...>)
{
    std::vector<MeshMessage> samples;
    const auto add = [&](auto message) {
        SampleFiller().fill(message);
        samples.emplace_back(std::move(message));
    };
    (add(std::variant_alternative_t<Kinds, MeshMessage>()), ...);
    return samples;
}

std::vector<MeshMessage> samples() { return samplesOf(std::make_index_sequence<std::variant_size_v<MeshMessage>>()); }

// One line of hexadecimal digits for each kind of message, in the order of the kinds.
std::vector<std::string> storedForms()
{
    std::ifstream file(fmt::format("{}/tests/gateway/forms/mesh-{}.txt", LYCHEE_SOURCE_DIR, meshProtocolVersion));
    std::vector<std::string> forms;
    for (std::string line; std::getline(file, line);)
        forms.push_back(line);
    return forms;
}

std::string formOf(const MeshMessage& message) { return absl::BytesToHexString(encodeMeshMessage(message)); }

// Guards against a message that changes its written form, or loses its place among the kinds, without a new version of
// the protocol.
TEST(MeshForms, StayAsTheyWereIntroduced)
{
    const std::vector<std::string> stored = storedForms();
    const std::vector<MeshMessage> today = samples();
    for (std::size_t kind = 0; kind < today.size(); ++kind) {
        ASSERT_LT(kind, stored.size()) << "add the form of the new kind: " << formOf(today[kind]);
        EXPECT_EQ(formOf(today[kind]), stored[kind]) << kind;
    }
    EXPECT_EQ(stored.size(), today.size());
}

// Guards against a stored form that is not read, or read differently from how it was meant.
TEST(MeshForms, AreReadAndWrittenAgainUnchanged)
{
    for (const std::string& form : storedForms()) {
        const auto message = decodeMeshMessage(absl::HexStringToBytes(form));
        ASSERT_TRUE(message.ok()) << message.status() << " " << form;
        EXPECT_EQ(formOf(*message), form);
    }
}

// States what an older build does with what it does not know, which decides what may be sent to it.
TEST(MeshForms, AnUnknownKindOrFieldIsAnError)
{
    std::string form = encodeMeshMessage(MeshLeaving{});
    const std::size_t kindAt = 2;
    form[kindAt] = static_cast<char>(std::variant_size_v<MeshMessage>);
    EXPECT_FALSE(decodeMeshMessage(form).ok());
    // [version, kind, [call]] with one more field.
    std::string longer = encodeMeshMessage(MeshConfirmationQuery{1});
    const std::size_t fieldsAt = 3;
    longer[fieldsAt] = static_cast<char>(longer[fieldsAt] + 1);
    longer += '\x01';
    EXPECT_FALSE(decodeMeshMessage(longer).ok());
}

} // namespace
} // namespace lychee::gateway
