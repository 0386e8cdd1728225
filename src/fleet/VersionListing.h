// The software versions that begin streams of one service. What targets of different software versions write does not
// fit together, so a stream is resumed only at the version that began it. A version begins streams only once it is in a
// list that the platform keeps: while the list has one version, every stream in progress was begun by that one, and
// nothing has to be known of the single stream.
#pragma once

#include "fleet/RouteTable.h"

#include <map>
#include <optional>
#include <set>

namespace lychee::fleet {

// How long a stream of the route can be in progress, with all attempts of its caller, who may wait for longer than the
// timeout of the route.
Duration streamLife(const Route& route);

class VersionListing {
public:
    // Takes the longest streamLife() of the routes to the service. Streams of an earlier configuration keep theirs.
    void setStreamLife(Duration life) { streamLife_ = std::max(streamLife_, life); }

    // Records the versions of the targets that the service has now.
    void observe(const std::set<SoftwareVersion>& present, TimePoint now);

    // Records the list as of a version of its row. Returns false for an older row than the known one.
    bool record(RowVersion row, std::set<SoftwareVersion> versions, TimePoint now);

    // Whether a version that is present is not in the known list.
    bool lacksPresent() const;

    // The list with the versions that are present, and without those that were not for as long as a stream can be in
    // progress. Nothing when the known list needs no change. Versions are left out only if `mayRemove`.
    std::optional<std::set<SoftwareVersion>> revised(bool mayRemove, TimePoint now) const;

    // The versions of the list that may begin streams. A version that was not present for a while may have been
    // removed from the list since.
    std::set<SoftwareVersion> usable(TimePoint now) const;

    const std::set<SoftwareVersion>& listed() const { return listed_; }

    // Whether the origins of streams have to be recorded: a take-up goes by the list, also by a version in it that may
    // begin no more streams.
    bool mustRecordOrigins() const { return listed_.size() > 1; }

    // The version of the row of the list; zero when it is not known.
    RowVersion row() const { return row_; }

private:
    Duration streamLife_{0};
    RowVersion row_;
    std::set<SoftwareVersion> listed_;
    std::set<SoftwareVersion> present_;
    // When each version was last present, or got into the list.
    std::map<SoftwareVersion, TimePoint> seenAt_;
};

// The text of the row: the versions, separated by spaces. An empty version is written as "-".
std::string encodeVersions(const std::set<SoftwareVersion>& versions);

std::set<SoftwareVersion> decodeVersions(std::string_view text);

} // namespace lychee::fleet
