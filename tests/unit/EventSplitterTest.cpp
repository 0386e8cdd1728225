#include "protocol/EventSplitter.h"

#include <gtest/gtest.h>

namespace lychee {
namespace {

const std::string stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nversion: 3\r\nid: 3\r\ndata: c\r\n\r\n";

// Guards against a stream that is cut inside an event: its continuation would lose or repeat a part of it.
TEST(EventSplitter, ForwardsOnlyWholeEventsWhereverTheBytesAreCut)
{
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        EventSplitter splitter;
        const std::string first = splitter.feed(stream.substr(0, cut));
        EXPECT_TRUE(first.empty() || first.ends_with("\n\n") || first.ends_with("\n\r\n")) << cut;
        EXPECT_EQ(first + splitter.rest(), stream.substr(0, cut));
        const std::string second = splitter.feed(stream.substr(cut));
        EXPECT_EQ(first + second, stream) << cut;
        EXPECT_EQ(splitter.lastEventId(), 3u);
    }
}

// Guards against an id that is taken from an event that the caller has not received.
TEST(EventSplitter, KnowsTheIdOfTheLastWholeEvent)
{
    EventSplitter splitter;
    splitter.feed("id: 7\ndata: a\n\nid: 8\ndata: half");
    EXPECT_EQ(splitter.lastEventId(), 7u);
    splitter.dropRest();
    EXPECT_EQ(splitter.feed("id: 9\ndata: b\n\n"), "id: 9\ndata: b\n\n");
    EXPECT_EQ(splitter.lastEventId(), 9u);
}

} // namespace
} // namespace lychee
