// The software versions of streams across restorations of the store, with instances that live through one and others
// that start after it.
#include "gateway/StreamVersions.h"

#include <boost/fiber/operations.hpp>

#include <gtest/gtest.h>

#include <thread>

namespace lychee::gateway {
namespace {

using namespace std::chrono_literals;

// The rows of a store. The versions of all tables are counted together.
struct Tables {
    struct Row {
        std::uint64_t counter = 0;
        std::string value;
    };

    using Rows = std::map<std::pair<std::string, std::string>, Row>;

    RowVersion now() const { return rowVersionIn(era, counter); }

    void keepCopy() { copy = {rows, counter}; }

    void restore()
    {
        std::tie(rows, counter) = copy;
        era = era.next();
    }

    StoreEra era{1};
    Rows rows;
    std::uint64_t counter = 0;
    std::pair<Rows, std::uint64_t> copy;
    // Calls that concern one row, by table.
    std::map<std::string, int> calls;
};

// Access of one instance to a store that answers at once.
class MemoryStore {
public:
    explicit MemoryStore(Tables& tables)
        : tables_(tables)
    {
    }

    // All further calls fail, as after the end of the instance.
    void cut() { isCut_ = true; }

    absl::StatusOr<RowPage> list(const std::string& table, TimePoint)
    {
        if (isCut_)
            return unreachable();
        RowPage page{{}, tables_.now()};
        for (const auto& [key, row] : tables_.rows) {
            if (key.first == table)
                page.rows.push_back({key.second, rowVersionIn(tables_.era, row.counter), false, row.value});
        }
        return page;
    }

    absl::StatusOr<RowPage> changes(
        const std::string&, RowVersion, Duration, TimePoint, const std::shared_ptr<HttpCancellation>&)
    {
        return unreachable();
    }

    absl::StatusOr<RowPage> find(const std::string& table, const std::string& key, TimePoint deadline)
    {
        ++tables_.calls[table];
        absl::StatusOr<RowPage> page = list(table, deadline);
        if (page.ok())
            std::erase_if(page->rows, [&](const StoredRow& row) { return row.key != key; });
        return page;
    }

    RowWrite write(
        const std::string& table, const std::string& key, RowVersion expected, const std::string& value, TimePoint)
    {
        if (isCut_)
            return {};
        ++tables_.calls[table];
        const auto found = tables_.rows.find({table, key});
        if (rowCounterOf(expected) != (found == tables_.rows.end() ? 0 : found->second.counter))
            return {RowWrite::Outcome::Conflict, {}, {}, {}};
        tables_.rows[{table, key}] = {++tables_.counter, value};
        return {RowWrite::Outcome::Written, tables_.now(), {}, {}};
    }

    absl::Status update(const std::string&, const std::vector<RowContent>&, const std::vector<std::string>&, TimePoint)
    {
        return unreachable();
    }

private:
    static absl::Status unreachable() { return makeError(CoordinationError::PlatformUnreachable, "cut"); }

    Tables& tables_;
    bool isCut_ = false;
};

static_assert(StreamStore<MemoryStore>);

class StreamVersionsTest : public testing::Test {
protected:
    class Instance {
    public:
        Instance(StreamVersionsTest& test, bool isLister)
            : test_(test)
            , store_(test.store_)
            , versions_(store_, 0ms,
                  {[isLister] { return isLister; }, [](const ServiceId&, const std::set<SoftwareVersion>&, bool) {},
                      [](const MeshMessage&) {}})
        {
            test_.duty_->run([this] {
                fleet::Route route;
                route.kind = fleet::RequestKind::Streaming;
                route.resumable = true;
                route.services = {{service, 1}};
                versions_.configurationChanged(*fleet::RouteTable::create(ConfigurationVersion(1), {route}, {}, {}));
            });
        }

        void run()
        {
            test_.duty_->spawn([this] { versions_.run(); });
        }

        void addTarget(const std::string& version)
        {
            fleet::TargetRecord record;
            record.id = TargetId("target-" + version);
            record.service = service;
            record.softwareVersion = SoftwareVersion(version);
            test_.duty_->run([&] { versions_.targetUpdated(record); });
        }

        void kill()
        {
            test_.duty_->run([this] { store_.cut(); });
        }

        void noticeRestoration()
        {
            test_.duty_->run([this] { versions_.storeRestored(); });
        }

        // The version at which a stream is resumed that this instance has not begun; empty when it is refused.
        std::string versionOf(const std::string& attempt)
        {
            std::string version;
            // Reads the records twice, with a pause in between.
            const auto done = std::make_shared<std::atomic<bool>>(false);
            test_.duty_->spawn([&, done] {
                const auto found = versions_.find(service, RequestId(attempt), currentTime() + 800ms);
                version = found.ok() ? found->value() : "";
                *done = true;
            });
            while (!*done)
                test_.pass(50ms);
            return version;
        }

    private:
        StreamVersionsTest& test_;
        MemoryStore store_;
        StreamVersions<MemoryStore> versions_;
    };

    // The fibers stop only after their current wait, so the clock is advanced until they have.
    ~StreamVersionsTest() override
    {
        const std::jthread advancing([this](const std::stop_token& stop) {
            while (!stop.stop_requested()) {
                clock_->advance(1s);
                std::this_thread::sleep_for(1ms);
            }
        });
        duty_.reset();
    }

    Instance& start(const std::vector<std::string>& targets, bool isLister = false)
    {
        Instance& instance = *instances_.emplace_back(std::make_unique<Instance>(*this, isLister));
        for (const std::string& version : targets)
            instance.addTarget(version);
        instance.run();
        return instance;
    }

    void pass(Duration time)
    {
        constexpr Duration step = 50ms;
        for (Duration passed{0}; passed < time; passed += step) {
            clock_->advance(step);
            for (int i = 0; i < 3; ++i)
                duty_->run([] { boost::this_fiber::yield(); });
        }
    }

    static inline const ServiceId service{"hall"};

    std::shared_ptr<RuntimeClock> clock_ = RuntimeClock::createPaused();
    Tables store_;
    std::vector<std::unique_ptr<Instance>> instances_;
    std::unique_ptr<Duty> duty_ = Duty::start("test", clock_).value();
};

// Guards against streams that go on at another software version at an instance that has started after the store was
// restored from a copy without the version that began them.
TEST_F(StreamVersionsTest, AStartAfterARestorationDoesNotGoByTheRestoredList)
{
    Instance& first = start({"v1"}, true);
    pass(5s);
    store_.keepCopy();
    first.addTarget("v2");
    pass(1s);
    store_.restore();
    // The entries of the targets were lost, too, and return after a time.
    Instance& started = start({"v1"});
    for (int i = 0; i < 10; ++i) {
        EXPECT_EQ(started.versionOf("begun-at-v2"), "") << "try " << i;
        pass(100ms);
    }
    first.noticeRestoration();
    started.addTarget("v2");
    pass(5s);
    EXPECT_EQ(started.versionOf("begun-at-v2"), "") << "beside two versions, by its record only";
}

// Guards against take-ups that every instance refuses after its start because the store was restored long ago.
TEST_F(StreamVersionsTest, AStartLongAfterARestorationGoesByTheList)
{
    Instance& first = start({"v1"}, true);
    pass(1s);
    store_.keepCopy();
    pass(1s);
    store_.restore();
    first.noticeRestoration();
    EXPECT_EQ(start({"v1"}).versionOf("begun"), "") << "the list may lack versions yet";
    pass(4s);
    EXPECT_EQ(first.versionOf("begun"), "v1");
    EXPECT_EQ(start({"v1"}).versionOf("begun"), "v1");
}

// Guards against take-ups that are refused for good when no instance has lived through the restoration.
TEST_F(StreamVersionsTest, InstancesThatAllStartAfterARestorationComeToGoByTheList)
{
    Instance& killed = start({"v1"}, true);
    pass(1s);
    store_.keepCopy();
    killed.kill();
    store_.restore();
    Instance& started = start({"v1"});
    EXPECT_EQ(started.versionOf("begun"), "");
    pass(4s);
    EXPECT_EQ(started.versionOf("begun"), "v1");
    pass(1s);
    EXPECT_EQ(start({"v1"}).versionOf("begun"), "v1") << "without a lister, another instance records the era";
}

// Guards against take-ups that are refused after the first start at a store that states an era.
TEST_F(StreamVersionsTest, TheFirstInstancesAtAStoreGoByTheListAtOnce)
{
    start({"v1"}, true);
    pass(200ms);
    Instance& second = start({"v1"});
    pass(200ms);
    EXPECT_EQ(second.versionOf("begun"), "v1");
}

// Guards against calls to the store, which cost money, where it is never restored.
TEST_F(StreamVersionsTest, AStoreWithoutErasIsAskedForNone)
{
    store_.era = StoreEra(0);
    start({"v1"}, true);
    pass(5s);
    EXPECT_EQ(start({"v1"}).versionOf("begun"), "v1");
    pass(5s);
    EXPECT_EQ(store_.calls["store_eras"], 0);
}

} // namespace
} // namespace lychee::gateway
