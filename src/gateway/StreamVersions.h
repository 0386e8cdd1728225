// Finds the software version that began a stream, so that the stream is resumed only there, also after the instance
// that began it has ended. The versions of each service are listed in one table of the platform before they begin
// streams; VersionListing.h says why. While a list has several versions, the version of each stream is recorded in a
// second table. The record is written after the first event was passed on, so that it delays none: a stream of which
// nothing is known is not resumed. Used on the control duty.
//
// After the store was restored from a copy, the lists may lack versions that began streams before. A third table has
// the era of the store in which the lists were last complete, for instances that start later: the copy has an earlier
// era there, which holds until the instances have had the time to add what was lost.
#pragma once

#include "coordination/CoordinationError.h"
#include "fleet/RouteTable.h"
#include "fleet/StreamOrigins.h"
#include "fleet/TargetRecord.h"
#include "fleet/VersionListing.h"
#include "gateway/MeshMessages.h"
#include "gateway/RowStore.h"
#include "protocol/Digest.h"
#include "transport/Duty.h"
#include "transport/FiberEvent.h"
#include "transport/Log.h"

#include <concepts>
#include <deque>
#include <map>

namespace lychee::gateway {

inline constexpr LogChannel versionLog("versions");

// A row to write, whatever the table has now.
struct RowContent {
    std::string key;
    std::string value;
};

// A store of which single rows can be read, and several written in one call. find() returns a page with one row or
// none; update() sets and removes at most `maxRowsPerUpdate` rows together.
template <typename Store>
concept StreamStore = RowStore<Store> && requires(Store store, const std::string& text, TimePoint deadline,
    const std::vector<RowContent>& rows, const std::vector<std::string>& keys)
{
    {
        store.find(text, text, deadline)
        } -> std::same_as<absl::StatusOr<RowPage>>;
    {
        store.update(text, rows, keys, deadline)
        } -> std::same_as<absl::Status>;
};

inline constexpr std::size_t maxRowsPerUpdate = 100;

template <StreamStore Store> class StreamVersions {
public:
    struct Handlers {
        // Whether this instance is the one that changes the lists. Others add a version when nobody does.
        std::function<bool()> isLister;
        // The versions of a service that may begin streams have changed, or whether their origins have to be recorded.
        std::function<void(const ServiceId&, const std::set<SoftwareVersion>&, bool mustRecord)> versionsChanged;
        // Tells the peers what the list of a service is.
        std::function<void(const MeshMessage&)> announce;
    };

    // `listDelay` differs between instances, so that those that add a version because nobody does find it added.
    StreamVersions(Store& store, Duration listDelay, Handlers handlers)
        : store_(store)
        , listDelay_(listDelay)
        , handlers_(std::move(handlers))
    {
    }

    // Runs in a fiber until the duty stops.
    void run()
    {
        startedAt_ = currentTime();
        while (!Duty::current()->isStopping()) {
            review();
            reviewDue_.waitUntil(Duty::current()->timers(), currentTime() + reviewInterval);
        }
    }

    // Runs in a fiber until the duty stops.
    void runRecorder()
    {
        while (!Duty::current()->isStopping()) {
            recordDue_.waitUntil(Duty::current()->timers(), currentTime() + idleInterval);
            sleepFor(recordInterval);
            while (!unrecorded_.empty() || expiredRecords() >= maxRowsPerUpdate) {
                if (!writeRecords()) {
                    sleepFor(retryInterval);
                    break;
                }
            }
        }
    }

    // Whether all versions that targets have may begin streams, or enough time has passed to serve without.
    bool isSettled() const
    {
        const bool settled = std::all_of(targets_.begin(), targets_.end(), [this](const auto& target) {
            const auto& [service, version] = target.second;
            const auto found = services_.find(service);
            return found == services_.end() || !found->second.isResumable
                || (found->second.published && found->second.published->contains(version));
        });
        return settled || (startedAt_ && currentTime() - *startedAt_ >= settleTime);
    }

    // Takes the services from which streams can be resumed, and how long a stream can be in progress there.
    void configurationChanged(const fleet::RouteTable& table)
    {
        std::map<ServiceId, Duration> lives;
        for (const fleet::Route& route : table.routes()) {
            if (!route.isResumableStream())
                continue;
            for (const fleet::WeightedService& service : route.services) {
                Duration& life = lives[service.service];
                life = std::max(life, fleet::streamLife(route));
            }
        }
        for (const auto& [service, life] : lives) {
            services_[service].listing.setStreamLife(life);
            services_[service].isResumable = true;
        }
        reviewDue_.notify();
    }

    void targetUpdated(const fleet::TargetRecord& record)
    {
        const std::pair<ServiceId, SoftwareVersion> target{record.service, record.softwareVersion};
        if (std::exchange(targets_[record.id], target) != target)
            reviewDue_.notify();
    }

    void targetRemoved(const TargetId& id) { targets_.erase(id); }

    // The store was restored from a copy, which may lack lists and records that were written before.
    void storeRestored()
    {
        restoredAt_ = currentTime();
        mustRead_ = true;
    }

    // Has the origins of streams recorded for other instances.
    void record(std::vector<fleet::StreamOrigin> origins)
    {
        for (fleet::StreamOrigin& origin : origins) {
            if (unrecorded_.size() < maxUnrecorded)
                unrecorded_.push_back(std::move(origin));
        }
        recordDue_.notify();
    }

    // Returns the version that began a stream of the service. Suspends the fiber. Fails with
    // CoordinationError::PlatformUnreachable when the platform does not answer until the deadline, and with NotFound
    // when nothing is known of the stream.
    absl::StatusOr<SoftwareVersion> find(const ServiceId& service, const RequestId& attempt, TimePoint deadline)
    {
        settleEra();
        // Read before the list, which may have been completed in between.
        if (!era_ || settledEra_ != era_) {
            const absl::StatusOr<RowVersion> row = readEra(deadline);
            if (!row.ok())
                return row.status();
        }
        const absl::StatusOr<RowPage> list = store_.find(listTable, service.value(), deadline);
        if (!list.ok())
            return list.status();
        noteEra(eraOf(list->version));
        const auto known = services_.find(service);
        const bool mayLackVersions = settledEra_ != eraOf(list->version)
            || (restoredAt_ && currentTime() - *restoredAt_ < relistTime)
            || (known != services_.end() && known->second.listing.row() != RowVersion()
                && eraOf(list->version) != eraOf(known->second.listing.row()));
        if (mayLackVersions || list->rows.empty())
            return makeError(CoordinationError::NotFound, "the software versions of the service are not known");
        const std::set<SoftwareVersion> versions = fleet::decodeVersions(list->rows.front().value);
        if (versions.size() == 1)
            return *versions.begin();
        if (attempt.empty())
            return makeError(CoordinationError::NotFound, "the request does not name the stream that it resumes");
        for (int read = 0; read < recordReads; ++read) {
            // The record of a stream that has just begun may be on its way.
            if (read > 0)
                sleepFor(recordInterval * 2);
            const absl::StatusOr<RowPage> record = store_.find(recordTable, recordKey(service, attempt), deadline);
            if (!record.ok())
                return record.status();
            if (!record->rows.empty())
                return SoftwareVersion(record->rows.front().value);
        }
        return makeError(CoordinationError::NotFound, "nothing is recorded of the stream");
    }

    void handle(const MeshVersionList& message)
    {
        record(
            message.service, message.row, std::set<SoftwareVersion>(message.versions.begin(), message.versions.end()));
    }

    // The lists that this instance knows, for a peer that joins.
    std::vector<MeshVersionList> lists() const
    {
        std::vector<MeshVersionList> lists;
        for (const auto& [service, state] : services_) {
            if (state.listing.row() != RowVersion())
                lists.push_back(toMessage(service, state.listing));
        }
        return lists;
    }

private:
    struct ServiceState {
        fleet::VersionListing listing;
        // Whether a route to the service allows streams to be resumed. The list of others is not kept.
        bool isResumable = false;
        // The versions that the relay knows, and whether it has origins recorded.
        std::optional<std::set<SoftwareVersion>> published;
        bool recordsOrigins = false;
        // Since when the list has to be changed.
        std::optional<TimePoint> dueSince;
    };

    struct Record {
        std::string key;
        TimePoint expiresAt;
    };

    static constexpr const char* listTable = "software_versions";
    static constexpr const char* recordTable = "stream_versions";
    static constexpr const char* eraTable = "store_eras";
    static constexpr const char* eraKey = "settled";
    static constexpr Duration reviewInterval = std::chrono::milliseconds(100);
    static constexpr Duration recordInterval = std::chrono::milliseconds(50);
    static constexpr Duration idleInterval = std::chrono::seconds(5);
    static constexpr Duration retryInterval = std::chrono::milliseconds(500);
    static constexpr Duration answerTimeout = std::chrono::milliseconds(900);
    // Others than the lister leave it this time to change a list.
    static constexpr Duration listerTime = std::chrono::milliseconds(500);
    // Time in which the lists are written again after the store was restored from a copy.
    static constexpr Duration relistTime = std::chrono::seconds(3);
    static constexpr Duration settleTime = std::chrono::seconds(3);
    static constexpr std::size_t maxUnrecorded = 10'000;
    static constexpr int recordReads = 2;

    // The attempt id may have bytes that keys do not.
    static std::string recordKey(const ServiceId& service, const RequestId& attempt)
    {
        constexpr std::size_t digits = 32;
        return sha256Hex(service.value() + "\n" + attempt.value()).substr(0, digits);
    }

    static MeshVersionList toMessage(const ServiceId& service, const fleet::VersionListing& listing)
    {
        return {service, listing.row(), {listing.listed().begin(), listing.listed().end()}};
    }

    void review()
    {
        const TimePoint now = currentTime();
        if (std::none_of(
                services_.begin(), services_.end(), [](const auto& entry) { return entry.second.isResumable; }))
            return;
        std::map<ServiceId, std::set<SoftwareVersion>> present;
        for (const auto& [id, target] : targets_)
            present[target.first].insert(target.second);
        bool isDue = std::exchange(mustRead_, false);
        for (auto& [service, state] : services_) {
            if (!state.isResumable)
                continue;
            state.listing.observe(present[service], now);
            if (!state.listing.revised(handlers_.isLister(), now)) {
                state.dueSince.reset();
                publish(service, state);
                continue;
            }
            if (!state.dueSince)
                state.dueSince = now;
            isDue = isDue || mayChange(state);
        }
        if (isDue)
            updateLists();
        reviewEra();
    }

    // Whether this instance changes the list of a service now.
    bool mayChange(const ServiceState& state) const
    {
        return handlers_.isLister() || (state.dueSince && currentTime() - *state.dueSince >= listerTime + listDelay_);
    }

    // Reads the lists, and changes those that need it.
    void updateLists()
    {
        const absl::StatusOr<RowPage> page = store_.list(listTable, currentTime() + answerTimeout);
        if (!page.ok()) {
            mustRead_ = true;
            return sleepFor(retryInterval);
        }
        noteEra(eraOf(page->version));
        // Before the first list is written, so that instances that start beside this one see the record, too.
        if (!std::exchange(listsWereRead_, true) && page->rows.empty() && settledEra_ != era_ && !recordFirstEra()) {
            listsWereRead_ = false;
            mustRead_ = true;
            return sleepFor(retryInterval);
        }
        std::vector<ServiceId> ids;
        for (const auto& [service, state] : services_) {
            if (state.isResumable)
                ids.push_back(service);
        }
        for (const ServiceId& service : ids) {
            const auto row = std::find_if(page->rows.begin(), page->rows.end(),
                [&](const StoredRow& entry) { return entry.key == service.value(); });
            if (row != page->rows.end())
                record(service, row->version, fleet::decodeVersions(row->value));
            changeList(service, row == page->rows.end() ? RowVersion() : row->version);
        }
    }

    // Takes the era of an answer of the store.
    void noteEra(StoreEra era)
    {
        if (era_ && era <= *era_)
            return;
        era_ = era;
        eraSeenAt_ = currentTime();
        // A store in its first era has never been restored.
        if (era == StoreEra())
            settledEra_ = recordedEra_ = era;
    }

    // Counts the lists as complete once the instances have had the time to write again what a restoration has lost.
    void settleEra()
    {
        if (!era_ || settledEra_ == era_ || currentTime() - eraSeenAt_ < relistTime)
            return;
        const bool lackVersions = std::any_of(services_.begin(), services_.end(),
            [](const auto& entry) { return entry.second.isResumable && entry.second.listing.lacksPresent(); });
        if (!lackVersions)
            settledEra_ = era_;
    }

    // Reads the era in which the lists were last complete. Returns the version of its row, zero when there is none.
    absl::StatusOr<RowVersion> readEra(TimePoint deadline)
    {
        const absl::StatusOr<RowPage> page = store_.find(eraTable, eraKey, deadline);
        if (!page.ok())
            return page.status();
        const StoreEra era = eraOf(page->version);
        noteEra(era);
        if (page->rows.empty())
            return RowVersion();
        const StoredRow& row = page->rows.front();
        if (era_ == era && row.value == std::to_string(era.value()))
            settledEra_ = recordedEra_ = era;
        return row.version;
    }

    // At a store without lists, no stream has begun yet, so there is nothing that a restoration may have lost. A record
    // of an earlier era shows that there have been lists. Returns false when the store has to be read again.
    bool recordFirstEra()
    {
        const absl::StatusOr<RowVersion> row = readEra(currentTime() + answerTimeout);
        if (!row.ok())
            return false;
        if (*row != RowVersion() || settledEra_ == era_)
            return true;
        settledEra_ = era_;
        return writeEra(*settledEra_, *row);
    }

    // Returns false when the store has to be read again.
    bool recordEra()
    {
        const StoreEra era = *settledEra_;
        const absl::StatusOr<RowVersion> row = readEra(currentTime() + answerTimeout);
        if (!row.ok())
            return false;
        // Another instance has written it, or the store was restored since.
        if (recordedEra_ == era || era_ != era)
            return true;
        return writeEra(era, *row);
    }

    bool writeEra(StoreEra era, RowVersion row)
    {
        const RowWrite write
            = store_.write(eraTable, eraKey, row, std::to_string(era.value()), currentTime() + answerTimeout);
        const bool isWritten = write.outcome == RowWrite::Outcome::Written;
        versionLog.info("store_era={} written={} lists are complete", era, isWritten);
        if (isWritten)
            recordedEra_ = era;
        return isWritten;
    }

    // Has the era recorded for instances that start later. Others than the lister leave it to that one for a time.
    void reviewEra()
    {
        settleEra();
        if (!settledEra_ || settledEra_ != era_ || recordedEra_ == settledEra_)
            return;
        const bool mayRecord
            = handlers_.isLister() || currentTime() - eraSeenAt_ >= relistTime + listerTime + listDelay_;
        if (mayRecord && !recordEra())
            sleepFor(retryInterval);
    }

    void changeList(const ServiceId& service, RowVersion row)
    {
        ServiceState& state = services_[service];
        const auto revised = state.listing.revised(handlers_.isLister(), currentTime());
        if (!revised || !mayChange(state))
            return;
        const RowWrite write = store_.write(
            listTable, service.value(), row, fleet::encodeVersions(*revised), currentTime() + answerTimeout);
        versionLog.info("service={} versions=\"{}\" row={} written={}", service, fleet::encodeVersions(*revised),
            write.version, write.outcome == RowWrite::Outcome::Written);
        if (write.outcome == RowWrite::Outcome::Conflict && write.current)
            return record(service, write.current->version, fleet::decodeVersions(write.current->value));
        if (write.outcome != RowWrite::Outcome::Written)
            return;
        const bool isSingle = revised->size() == 1 && state.listing.listed().size() > 1;
        record(service, write.version, *revised);
        handlers_.announce(toMessage(service, services_[service].listing));
        if (isSingle)
            removeRecords();
    }

    void record(const ServiceId& service, RowVersion row, std::set<SoftwareVersion> versions)
    {
        ServiceState& state = services_[service];
        if (state.listing.record(row, std::move(versions), currentTime()))
            publish(service, state);
    }

    void publish(const ServiceId& service, ServiceState& state)
    {
        if (state.listing.row() == RowVersion() || !state.isResumable)
            return;
        std::set<SoftwareVersion> usable = state.listing.usable(currentTime());
        const bool mustRecord = state.listing.mustRecordOrigins();
        if (state.published == usable && state.recordsOrigins == mustRecord)
            return;
        versionLog.info("service={} versions=\"{}\" row={} record={} may begin streams", service,
            fleet::encodeVersions(usable), state.listing.row(), mustRecord);
        state.published = usable;
        state.recordsOrigins = mustRecord;
        handlers_.versionsChanged(service, usable, mustRecord);
    }

    std::size_t expiredRecords() const
    {
        const TimePoint now = currentTime();
        std::size_t count = 0;
        while (count < records_.size() && count < maxRowsPerUpdate && records_[count].expiresAt <= now)
            ++count;
        return count;
    }

    // Writes the records of the streams that have begun, and removes those of streams that have ended. Returns whether
    // the store has done so.
    bool writeRecords()
    {
        std::vector<fleet::StreamOrigin> origins;
        while (!unrecorded_.empty() && origins.size() < maxRowsPerUpdate) {
            origins.push_back(std::move(unrecorded_.front()));
            unrecorded_.pop_front();
        }
        std::vector<RowContent> rows;
        rows.reserve(origins.size());
        for (const fleet::StreamOrigin& origin : origins)
            rows.push_back({recordKey(origin.service, origin.attempt), origin.version.value()});
        const std::size_t expired = std::min(expiredRecords(), maxRowsPerUpdate - rows.size());
        std::vector<std::string> removed;
        for (std::size_t i = 0; i < expired; ++i)
            removed.push_back(records_[i].key);
        const absl::Status status = store_.update(recordTable, rows, removed, currentTime() + answerTimeout);
        if (!status.ok()) {
            versionLog.warning("records={} not written: {}", rows.size(), messageOf(status));
            if (unrecorded_.size() + origins.size() <= maxUnrecorded)
                unrecorded_.insert(unrecorded_.begin(), origins.begin(), origins.end());
            return false;
        }
        records_.erase(records_.begin(), records_.begin() + static_cast<std::ptrdiff_t>(expired));
        for (std::size_t i = 0; i < origins.size(); ++i)
            records_.push_back({rows[i].key, origins[i].expiresAt});
        return true;
    }

    // Removes the records of instances that have ended, once no list has several versions.
    void removeRecords()
    {
        const bool areNeeded = std::any_of(services_.begin(), services_.end(),
            [](const auto& entry) { return entry.second.listing.listed().size() > 1; });
        const absl::StatusOr<RowPage> page
            = areNeeded ? RowPage() : store_.list(recordTable, currentTime() + answerTimeout);
        if (!page.ok())
            return;
        std::vector<std::string> keys;
        for (const StoredRow& row : page->rows) {
            keys.push_back(row.key);
            if (keys.size() < maxRowsPerUpdate)
                continue;
            store_.update(recordTable, {}, std::exchange(keys, {}), currentTime() + answerTimeout).IgnoreError();
        }
        if (!keys.empty())
            store_.update(recordTable, {}, keys, currentTime() + answerTimeout).IgnoreError();
    }

    Store& store_;
    Duration listDelay_;
    Handlers handlers_;
    std::optional<TimePoint> startedAt_;
    std::map<ServiceId, ServiceState> services_;
    std::map<TargetId, std::pair<ServiceId, SoftwareVersion>> targets_;
    bool mustRead_ = true;
    bool listsWereRead_ = false;
    std::optional<TimePoint> restoredAt_;
    // The highest era of the store that was seen, and when it was first seen.
    std::optional<StoreEra> era_;
    TimePoint eraSeenAt_;
    // The era in which the lists are known to be complete, and the one that the store has as such.
    std::optional<StoreEra> settledEra_;
    std::optional<StoreEra> recordedEra_;
    std::deque<fleet::StreamOrigin> unrecorded_;
    FiberEvent reviewDue_;
    FiberEvent recordDue_;
    // Written by this instance, in the order in which they were written.
    std::deque<Record> records_;
};

} // namespace lychee::gateway
