// Accepts configurations by compare-and-set and keeps the newest one in force; never goes back to an older one.
#pragma once

#include "coordination/CoordinationError.h"
#include "coordination/PlatformClient.h"
#include "protocol/Digest.h"
#include "transport/Duty.h"

#include <functional>

namespace lychee {

// The row of table `config` that names the accepted configuration.
inline constexpr std::string_view configurationTable = "config";
inline constexpr std::string_view currentConfigurationKey = "current";
// Rows of the history have keys with this prefix and the version, padded so that they sort.
inline constexpr std::string_view historyKeyPrefix = "version-";

// A configuration as it is stored and passed between instances.
struct ConfigurationDocument {
    ConfigurationVersion version;
    // SHA-256 of `text`.
    std::string hash;
    std::string text;
};

// What the table says about one accepted configuration.
struct AcceptedConfiguration {
    ConfigurationVersion version;
    std::string hash;
    std::int64_t acceptedMs = 0;
};

// Reads the value of a row; nothing when it is malformed.
std::optional<AcceptedConfiguration> decodeAccepted(const nlohmann::json& value);

nlohmann::json encodeAccepted(const AcceptedConfiguration& accepted);

// Name of the object that holds the text.
std::string configurationObject(ConfigurationVersion version, const std::string& hash);

// Key of the row in the history.
std::string historyKey(ConfigurationVersion version);

// Whether `next` may replace a configuration in force: only a higher version with the text that its hash names.
bool maySucceed(const ConfigurationDocument& next, ConfigurationVersion currentDocument);

// Runs on one duty.
template <typename Platform>
requires TableStore<Platform> && ObjectStore<Platform>
class ConfigurationManager {
public:
    // `adopted` is called with each configuration that comes into force.
    ConfigurationManager(Platform& platform, std::function<void(const ConfigurationDocument&)> adopted)
        : platform_(platform)
        , adopted_(std::move(adopted))
    {
    }

    const ConfigurationDocument& currentDocument() const { return inForce_; }

    // Takes a document from a peer or from the store. Returns whether it is in force now.
    bool adoptIfNewer(const ConfigurationDocument& document)
    {
        if (!maySucceed(document, inForce_.version))
            return false;
        inForce_ = document;
        adopted_(inForce_);
        return true;
    }

    // Reads the accepted version from the table and the text from the object store, if it is newer.
    absl::Status poll(TimePoint deadline)
    {
        const absl::StatusOr<Row> row = platform_.read(currentKey(), deadline);
        if (!row.ok())
            return row.status();
        const std::optional<AcceptedConfiguration> accepted = decodeAccepted(row->value);
        if (!accepted.has_value() || accepted->version <= inForce_.version)
            return absl::OkStatus();
        absl::StatusOr<std::string> text
            = platform_.getObject(configurationObject(accepted->version, accepted->hash), deadline);
        if (!text.ok())
            return text.status();
        adoptIfNewer({accepted->version, accepted->hash, *std::move(text)});
        return absl::OkStatus();
    }

    // Makes `text`, which has `version`, the accepted configuration, provided that `base` is the accepted one. Fails
    // with VersionStale when another one is accepted by now, and OutcomeUnknown or PlatformUnreachable.
    absl::Status submit(
        ConfigurationVersion base, ConfigurationVersion version, const std::string& text, TimePoint deadline)
    {
        const TimePoint outageDeadline = std::min(deadline, currentTime() + submitOutageLimit);
        const absl::StatusOr<Row> row
            = repeatBefore(outageDeadline, [&] { return platform_.read(currentKey(), deadline); });
        if (!row.ok())
            return row.status();
        const std::optional<AcceptedConfiguration> current = decodeAccepted(row->value);
        if ((current.has_value() ? current->version : ConfigurationVersion()) != base)
            return makeError(CoordinationError::VersionStale, "another configuration was accepted meanwhile");
        const AcceptedConfiguration next{version, sha256Hex(text), wallClockMilliseconds()};
        const absl::Status stored = repeatBefore(outageDeadline,
            [&] { return platform_.putObject(configurationObject(version, next.hash), text, deadline); });
        if (!stored.ok())
            return stored;
        const absl::Status accepted = writeAccepted(row->version, next, deadline);
        if (accepted.ok())
            adoptIfNewer({version, next.hash, text});
        return accepted;
    }

private:
    // How often an unreachable platform is tried again.
    static constexpr Duration repeatInterval = std::chrono::milliseconds(50);

    // Operators are told of an outage after this time if nothing was written yet.
    static constexpr Duration submitOutageLimit = std::chrono::seconds(2);

    static RowKey currentKey() { return {std::string(configurationTable), std::string(currentConfigurationKey)}; }

    absl::Status writeAccepted(RowVersion expected, const AcceptedConfiguration& next, TimePoint deadline)
    {
        TableTransaction transaction = TableTransaction::compareAndSet(currentKey(), expected, encodeAccepted(next));
        transaction.puts.push_back({{std::string(configurationTable), historyKey(next.version)}, encodeAccepted(next)});
        const TableWrite write = platform_.transact(transaction, deadline);
        switch (write.outcome) {
        case WriteOutcome::Committed:
            return absl::OkStatus();
        case WriteOutcome::Conflict:
            return makeError(CoordinationError::VersionStale, "another configuration was accepted meanwhile");
        case WriteOutcome::NotSent:
            return makeError(CoordinationError::PlatformUnreachable, "the configuration was not accepted");
        case WriteOutcome::Unknown:
            break;
        }
        return resolveUnknown(next, deadline);
    }

    // Repeats a call that changes nothing when repeated. After a failure the platform client fails calls at once for a
    // moment, so a single call right after a lost answer always fails.
    template <typename Call> static auto repeatBefore(TimePoint deadline, const Call& call) -> decltype(call())
    {
        while (true) {
            auto result = call();
            const bool unreachable
                = errorOf<CoordinationError>(statusOf(result)) == CoordinationError::PlatformUnreachable;
            if (!unreachable || currentTime() + repeatInterval >= deadline)
                return result;
            sleepFor(repeatInterval);
        }
    }

    static const absl::Status& statusOf(const absl::Status& status) { return status; }
    static absl::Status statusOf(const absl::StatusOr<Row>& row) { return row.status(); }

    // The row tells whether the write took effect, because no other submission has its hash and time.
    absl::Status resolveUnknown(const AcceptedConfiguration& next, TimePoint deadline)
    {
        const absl::StatusOr<Row> row = repeatBefore(deadline, [&] { return platform_.read(currentKey(), deadline); });
        if (!row.ok())
            return makeError(CoordinationError::OutcomeUnknown, "the platform did not say whether it was accepted");
        const std::optional<AcceptedConfiguration> found = decodeAccepted(row->value);
        const bool ours = found.has_value() && found->version == next.version && found->hash == next.hash
            && found->acceptedMs == next.acceptedMs;
        if (ours)
            return absl::OkStatus();
        if (found.has_value() && found->version >= next.version)
            return makeError(CoordinationError::VersionStale, "another configuration was accepted meanwhile");
        return makeError(CoordinationError::OutcomeUnknown, "the write may still take effect");
    }

    Platform& platform_;
    std::function<void(const ConfigurationDocument&)> adopted_;
    ConfigurationDocument inForce_;
};

} // namespace lychee
