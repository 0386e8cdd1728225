// Accepts configurations by compare-and-set and adopts the newest accepted one; never returns to an older one.
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
// Rows of the history have keys of this prefix and the version, zero-padded so that they sort by version.
inline constexpr std::string_view historyKeyPrefix = "version-";

// A configuration as it is stored and passed between instances.
struct ConfigurationDocument {
    ConfigurationVersion version;
    // SHA-256 of `text`.
    std::string hash;
    std::string text;
};

// The row of one accepted configuration.
struct AcceptedConfiguration {
    ConfigurationVersion version;
    std::string hash;
    std::int64_t acceptedMs = 0;
};

// Decodes the value of a row; empty when it is malformed.
std::optional<AcceptedConfiguration> decodeAccepted(const nlohmann::json& value);

nlohmann::json encodeAccepted(const AcceptedConfiguration& accepted);

// Name of the object that holds the text of a configuration.
std::string configurationObject(ConfigurationVersion version, const std::string& hash);

// Key of the history row of a version.
std::string historyKey(ConfigurationVersion version);

// Whether `next` may replace the configuration with version `current`: its version is higher and its text matches its
// hash.
bool mayReplace(const ConfigurationDocument& next, ConfigurationVersion current);

// All calls come from fibers of one Duty.
template <typename Platform>
requires TableStore<Platform> && ObjectStore<Platform>
class ConfigurationManager {
public:
    // `adopted` is called with each configuration that is adopted.
    ConfigurationManager(Platform& platform, std::function<void(const ConfigurationDocument&)> adopted)
        : platform_(platform)
        , adopted_(std::move(adopted))
    {
    }

    const ConfigurationDocument& currentDocument() const { return current_; }

    // Adopts a document from a peer or from the store if it is newer. Returns whether it was adopted.
    bool adoptIfNewer(const ConfigurationDocument& document)
    {
        if (!mayReplace(document, current_.version))
            return false;
        current_ = document;
        adopted_(current_);
        return true;
    }

    // Reads the accepted version from the table and the text from the object store, if it is newer.
    absl::Status poll(TimePoint deadline)
    {
        const absl::StatusOr<Row> row = platform_.read(currentKey(), deadline);
        if (!row.ok())
            return row.status();
        const std::optional<AcceptedConfiguration> accepted = decodeAccepted(row->value);
        if (!accepted.has_value() || accepted->version <= current_.version)
            return absl::OkStatus();
        absl::StatusOr<std::string> text
            = platform_.getObject(configurationObject(accepted->version, accepted->hash), deadline);
        if (!text.ok())
            return text.status();
        adoptIfNewer({accepted->version, accepted->hash, *std::move(text)});
        return absl::OkStatus();
    }

    // Makes `text`, which has `version`, the accepted configuration if the accepted version is still `base`. Fails with
    // VersionStale if it is another one, OutcomeUnknown if the write may yet take effect, and PlatformUnreachable.
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
            return makeError(
                CoordinationError::VersionStale, "a different configuration version was accepted in the meantime");
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
    // Interval at which calls to an unreachable platform are retried.
    static constexpr Duration repeatInterval = std::chrono::milliseconds(50);

    // If nothing was written yet, submit() reports an unreachable platform to the operator after this time.
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
            return makeError(
                CoordinationError::VersionStale, "a different configuration version was accepted in the meantime");
        case WriteOutcome::NotSent:
            return makeError(CoordinationError::PlatformUnreachable,
                "the platform could not be reached; the configuration was not accepted");
        case WriteOutcome::Unknown:
            break;
        }
        return resolveUnknown(next, deadline);
    }

    // Retries an idempotent call. After a failure the platform client fails all calls for a short time without sending
    // them, so a single call right after a lost answer would always fail.
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

    // Finds out whether a write without an answer took effect: no other submission has the same version, hash and time.
    absl::Status resolveUnknown(const AcceptedConfiguration& next, TimePoint deadline)
    {
        const absl::StatusOr<Row> row = repeatBefore(deadline, [&] { return platform_.read(currentKey(), deadline); });
        if (!row.ok())
            return makeError(CoordinationError::OutcomeUnknown,
                "the write was not answered and its row could not be read back; the configuration may have been "
                "accepted");
        const std::optional<AcceptedConfiguration> found = decodeAccepted(row->value);
        const bool ours = found.has_value() && found->version == next.version && found->hash == next.hash
            && found->acceptedMs == next.acceptedMs;
        if (ours)
            return absl::OkStatus();
        if (found.has_value() && found->version >= next.version)
            return makeError(
                CoordinationError::VersionStale, "a different configuration version was accepted in the meantime");
        return makeError(CoordinationError::OutcomeUnknown,
            "the write of the configuration was not answered and may still take effect");
    }

    Platform& platform_;
    std::function<void(const ConfigurationDocument&)> adopted_;
    ConfigurationDocument current_;
};

} // namespace lychee
