#include "fleet/VersionListing.h"
#include "fleet/StreamOrigins.h"

#include <gtest/gtest.h>

namespace lychee::fleet {
namespace {

using namespace std::chrono_literals;

const SoftwareVersion older("v1");
const SoftwareVersion newer("v2");

TimePoint at(Duration time) { return TimePoint(time); }

VersionListing listingOf(std::set<SoftwareVersion> versions)
{
    VersionListing listing;
    listing.setStreamLife(30s);
    listing.observe(versions, at(0s));
    listing.record(RowVersion(1), std::move(versions), at(0s));
    return listing;
}

// Guards against streams that begin at a version before other instances can learn that there are two.
TEST(VersionListingTest, AVersionBeginsNoStreamsBeforeItIsListed)
{
    VersionListing listing = listingOf({older});
    listing.observe({older, newer}, at(1s));
    EXPECT_TRUE(listing.lacksPresent());
    EXPECT_EQ(listing.usable(at(1s)), std::set{older});
    EXPECT_EQ(listing.revised(false, at(1s)), (std::set{older, newer}));
    EXPECT_TRUE(listing.record(RowVersion(2), {older, newer}, at(2s)));
    EXPECT_EQ(listing.usable(at(2s)), (std::set{older, newer}));
    EXPECT_FALSE(listing.record(RowVersion(1), {older}, at(3s)));
    EXPECT_FALSE(listing.lacksPresent());
}

// Guards against a version that counts as gone while its streams can still be taken up.
TEST(VersionListingTest, AVersionStaysListedForTheLifeOfItsStreams)
{
    VersionListing listing = listingOf({older, newer});
    listing.observe({older, newer}, at(100s));
    listing.observe({newer}, at(101s));
    EXPECT_EQ(listing.revised(true, at(130s)), std::nullopt);
    EXPECT_EQ(listing.revised(true, at(131s)), std::set{newer});
    EXPECT_EQ(listing.revised(false, at(131s)), std::nullopt);
}

// Guards against a shorter timeout in a new configuration that ends the life of streams from before.
TEST(VersionListingTest, AShorterTimeoutShortensNoLife)
{
    VersionListing listing = listingOf({older, newer});
    listing.setStreamLife(1s);
    listing.observe({newer}, at(1s));
    EXPECT_EQ(listing.revised(true, at(20s)), std::nullopt);
}

// Guards against streams that begin at a version that has returned and may have been removed from the list meanwhile.
TEST(VersionListingTest, AVersionThatWasAwayIsNotUsedUntilTheListIsReadAgain)
{
    VersionListing listing = listingOf({older, newer});
    listing.observe({newer}, at(1s));
    EXPECT_EQ(listing.usable(at(15s)), (std::set{older, newer}));
    EXPECT_EQ(listing.usable(at(16s)), std::set{newer});
}

// Guards against an instance without targets that empties the list.
TEST(VersionListingTest, AServiceWithoutTargetsKeepsItsList)
{
    VersionListing listing = listingOf({older});
    listing.observe({}, at(1s));
    EXPECT_EQ(listing.revised(true, at(100s)), std::nullopt);
}

// Guards against a list that other instances read as another one.
TEST(VersionListingTest, AListIsReadAsItWasWritten)
{
    const std::set<SoftwareVersion> versions{SoftwareVersion(), older, newer};
    EXPECT_EQ(decodeVersions(encodeVersions(versions)), versions);
    EXPECT_TRUE(decodeVersions("").empty());
}

StreamOrigin originOf(std::string attempt, Duration expiresAt)
{
    return {ServiceId("hall"), RequestId(std::move(attempt)), older, at(expiresAt)};
}

// Guards against streams that cannot be taken up elsewhere because they began before the second version was listed.
TEST(StreamOriginsTest, ASecondVersionHasTheStreamsInProgressRecorded)
{
    StreamOrigins origins;
    const ServiceId hall("hall");
    EXPECT_TRUE(origins.setVersions(hall, {older}, false, at(0s)).empty());
    EXPECT_FALSE(origins.begun(originOf("ended", 2s), at(0s)));
    EXPECT_FALSE(origins.begun(originOf("a", 30s), at(1s)));
    const auto unrecorded = origins.setVersions(hall, {older, newer}, true, at(3s));
    ASSERT_EQ(unrecorded.size(), 1u);
    EXPECT_EQ(unrecorded.front().attempt, RequestId("a"));
    EXPECT_TRUE(origins.begun(originOf("b", 40s), at(4s)));
    EXPECT_EQ(origins.find(hall, RequestId("b")), older);
    EXPECT_EQ(origins.find(ServiceId("desk"), RequestId("b")), std::nullopt);
}

// Guards against take-ups that are refused after the last target of a version has left: the list still has the version,
// so that the record of the stream is asked for.
TEST(StreamOriginsTest, StreamsAreRecordedWhileAVersionThatHasLeftIsListed)
{
    VersionListing listing = listingOf({older, newer});
    listing.observe({newer}, at(1s));
    const auto usable = listing.usable(at(20s));
    ASSERT_EQ(usable, std::set{newer});
    StreamOrigins origins;
    origins.setVersions(ServiceId("hall"), usable, listing.mustRecordOrigins(), at(20s));
    EXPECT_TRUE(origins.begun(originOf("a", 50s), at(20s)));
}

// Guards against streams that begin anywhere while an instance does not know the list yet.
TEST(StreamOriginsTest, NoVersionBeginsStreamsBeforeTheListIsKnown)
{
    StreamOrigins origins;
    EXPECT_EQ(origins.versionsToBegin(ServiceId("hall")), nullptr);
    origins.requireListing();
    ASSERT_NE(origins.versionsToBegin(ServiceId("hall")), nullptr);
    EXPECT_TRUE(origins.versionsToBegin(ServiceId("hall"))->empty());
    origins.setVersions(ServiceId("hall"), {older}, false, at(0s));
    EXPECT_EQ(*origins.versionsToBegin(ServiceId("hall")), std::set{older});
}

// Guards against memory that grows with every stream.
TEST(StreamOriginsTest, EndedStreamsAreForgotten)
{
    StreamOrigins origins;
    for (int i = 0; i < 1000; ++i)
        origins.begun(originOf(std::to_string(i), std::chrono::seconds(i + 10)), at(std::chrono::seconds(i)));
    EXPECT_EQ(origins.find(ServiceId("hall"), RequestId("0")), std::nullopt);
    EXPECT_TRUE(origins.find(ServiceId("hall"), RequestId("995")).has_value());
}

} // namespace
} // namespace lychee::fleet
