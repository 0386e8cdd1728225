#include "gateway/LeaseManager.h"

#include <charconv>

namespace lychee::gateway {

std::string encodeLease(const fleet::LeaseRow& row) { return fmt::format("{} {}", row.fence, row.holder); }

std::optional<fleet::LeaseRow> decodeLease(std::string_view text)
{
    std::uint64_t fence = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), fence);
    if (error != std::errc() || end == text.data() + text.size() || *end != ' ')
        return std::nullopt;
    const std::string_view holder = text.substr(static_cast<std::size_t>(end - text.data()) + 1);
    return fleet::LeaseRow{InstanceId(std::string(holder)), FencingNumber(fence)};
}

} // namespace lychee::gateway
