#include "fleet/VersionListing.h"

#include <absl/strings/str_split.h>

#include <algorithm>

namespace lychee::fleet {

namespace {

constexpr std::string_view emptyVersion = "-";

constexpr int timeoutsOfStream = 2;
constexpr Duration minStreamLife = std::chrono::seconds(30);

} // namespace

Duration streamLife(const Route& route) { return std::max<Duration>(timeoutsOfStream * route.timeout, minStreamLife); }

void VersionListing::observe(const std::set<SoftwareVersion>& present, TimePoint now)
{
    // The versions of the last observation were present until now.
    for (const SoftwareVersion& version : present_)
        seenAt_[version] = now;
    for (const SoftwareVersion& version : present)
        seenAt_[version] = now;
    present_ = present;
    std::erase_if(seenAt_,
        [this](const auto& entry) { return !listed_.contains(entry.first) && !present_.contains(entry.first); });
}

bool VersionListing::record(RowVersion row, std::set<SoftwareVersion> versions, TimePoint now)
{
    if (row < row_)
        return false;
    for (const SoftwareVersion& version : versions) {
        if (!listed_.contains(version))
            seenAt_[version] = now;
    }
    row_ = row;
    listed_ = std::move(versions);
    return true;
}

bool VersionListing::lacksPresent() const
{
    return !std::includes(listed_.begin(), listed_.end(), present_.begin(), present_.end());
}

std::optional<std::set<SoftwareVersion>> VersionListing::revised(bool mayRemove, TimePoint now) const
{
    std::set<SoftwareVersion> versions = listed_;
    versions.insert(present_.begin(), present_.end());
    // A list without versions would show nothing, so the last one stays.
    if (mayRemove && !present_.empty()) {
        std::erase_if(versions, [&](const SoftwareVersion& version) {
            return !present_.contains(version) && now - seenAt_.at(version) >= streamLife_;
        });
    }
    if (versions == listed_)
        return std::nullopt;
    return versions;
}

std::set<SoftwareVersion> VersionListing::usable(TimePoint now) const
{
    std::set<SoftwareVersion> versions = listed_;
    std::erase_if(versions, [&](const SoftwareVersion& version) {
        return !present_.contains(version) && now - seenAt_.at(version) >= streamLife_ / 2;
    });
    return versions;
}

std::string encodeVersions(const std::set<SoftwareVersion>& versions)
{
    std::string text;
    for (const SoftwareVersion& version : versions) {
        if (!text.empty())
            text += ' ';
        text += version.empty() ? emptyVersion : std::string_view(version.value());
    }
    return text;
}

std::set<SoftwareVersion> decodeVersions(std::string_view text)
{
    std::set<SoftwareVersion> versions;
    for (const auto& item : absl::StrSplit(absl::string_view(text.data(), text.size()), ' ', absl::SkipEmpty())) {
        const std::string version(item);
        versions.insert(version == emptyVersion ? SoftwareVersion() : SoftwareVersion(version));
    }
    return versions;
}

} // namespace lychee::fleet
