#include "daemon/ControlService.h"

#include "coordination/GrantReleaseCodec.h"
#include "state/ConfigurationGenerator.h"
#include "transport/Log.h"

#include <cmath>

namespace lychee {

namespace {

constexpr LogChannel logChannel("control");

// Number of members of each data centre that read the accepted version at every interval; their peers forward it to the
// other members.
constexpr std::size_t pollersPerDataCentre = 2;

// The other members read the accepted version themselves once in this many intervals, in case a notice was lost.
constexpr std::uint64_t fallbackPollInterval = 15;

constexpr Duration platformTimeout = std::chrono::seconds(2);
constexpr Duration submitTimeout = std::chrono::seconds(10);

// Time limit of a load that a peer requested.
constexpr Duration ensureTimeout = std::chrono::seconds(10);

// Demand below this is not sent to peers. The unit is the work that one target can do.
constexpr double minReportedDemand = 0.001;

// Demand is rounded up to a multiple of this, so that small changes cause no message. Same unit as above.
constexpr double demandStep = 0.01;

// Unchanged demand is sent again after this many poll intervals.
constexpr std::uint64_t demandRepeatInterval = 10;

} // namespace

ControlService::ControlService(Duty& duty, ControlOptions options, PlatformGateway& platform, TargetControl& control,
    MetricsSink& metrics, ControlOutputs outputs)
    : duty_(duty)
    , options_(std::move(options))
    , platform_(platform)
    , outputs_(std::move(outputs))
    , placement_(duty, options_.placement, platform, control, metrics,
          {[this](const InstanceId& newOwner, const TargetId& target, const GrantRelease& release) {
               outputs_.sendTo(newOwner, GrantReleaseMessage{target, encodeGrantRelease(release)});
           },
              {}})
    , keeper_(platform, [this](const ConfigurationDocument& document) { adopt(document); })
{
}

void ControlService::start()
{
    duty_.spawn([this] { pollLoop(); });
    duty_.spawn([this] {
        while (!duty_.isStopping()) {
            exchangeDemand();
            sleepFor(options_.poll);
        }
    });
    placement_.start();
}

void ControlService::pollLoop()
{
    while (!duty_.isStopping()) {
        pollConfiguration();
        pollInstances();
        ++polls_;
        sleepFor(options_.poll);
    }
}

bool ControlService::isPoller() const
{
    std::vector<MemberRecord> local = members_;
    std::erase_if(local, [&](const MemberRecord& member) { return member.dataCentre != options_.dataCentre; });
    const std::vector<InstanceId> ranked = rankMembers(local, configurationTable);
    const std::size_t count = std::min(ranked.size(), pollersPerDataCentre);
    return std::find(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), options_.instance)
        != ranked.begin() + static_cast<std::ptrdiff_t>(count);
}

void ControlService::pollConfiguration()
{
    if (!isPoller() && polls_ % fallbackPollInterval != 0)
        return;
    const absl::Status status = keeper_.poll(currentTime() + platformTimeout);
    if (!status.ok())
        logChannel.debug("Reading the accepted configuration version from the platform failed: {}.", messageOf(status));
}

void ControlService::pollInstances()
{
    const absl::StatusOr<std::vector<ListedInstance>> listed = platform_.instances(currentTime() + platformTimeout);
    if (!listed.ok())
        return;
    std::vector<Endpoint> endpoints;
    for (const ListedInstance& instance : *listed) {
        if (!instance.leaving && instance.id != options_.listedName)
            endpoints.push_back(instance.peerEndpoint);
    }
    outputs_.endpointsListed(endpoints);
}

void ControlService::exchangeDemand()
{
    DemandMessage message{options_.instance, outputs_.localDemand()};
    std::erase_if(message.demand, [](const ArtifactDemand& item) { return item.load < minReportedDemand; });
    for (ArtifactDemand& item : message.demand)
        item.load = std::ceil(item.load / demandStep) * demandStep;
    placement_.setDemand(options_.instance, message.demand);
    // Unchanged demand is repeated at intervals for instances that have joined since.
    if (message.demand == floodedDemand_ && polls_ - demandFloodedAt_ < demandRepeatInterval)
        return;
    floodedDemand_ = message.demand;
    demandFloodedAt_ = polls_;
    outputs_.flood(message);
}

void ControlService::adopt(const ConfigurationDocument& document)
{
    absl::StatusOr<Configuration> decoded = decodeConfiguration(document.text);
    if (!decoded.ok()) {
        logChannel.error("Configuration {} was not adopted because it cannot be decoded: {}.", document.version,
            messageOf(decoded.status()));
        return;
    }
    configuration_ = std::make_shared<const Configuration>(*std::move(decoded));
    adoptedAt_ = currentTime();
    logChannel.info("Configuration {} is in force.", document.version);
    placement_.adopt(configuration_);
    outputs_.configurationAdopted(configuration_);
    outputs_.flood(ConfigurationNotice{document.version, document.hash});
}

void ControlService::setMembers(const std::vector<MemberRecord>& members)
{
    members_ = members;
    placement_.setMembers(members);
}

void ControlService::peerConnected(const InstanceId& peer)
{
    const ConfigurationDocument& document = keeper_.currentDocument();
    outputs_.sendTo(peer, ConfigurationNotice{document.version, document.hash});
}

void ControlService::handle(const InstanceId& from, const PeerMessage& message)
{
    std::visit([&](const auto& what) { handle(from, what); }, message);
}

void ControlService::handle(const InstanceId& from, const ConfigurationNotice& notice)
{
    if (notice.version > keeper_.currentDocument().version)
        outputs_.sendTo(from, ConfigurationRequest{keeper_.currentDocument().version});
}

void ControlService::handle(const InstanceId& from, const ConfigurationRequest& request)
{
    const ConfigurationDocument& document = keeper_.currentDocument();
    if (document.version > request.newerThan)
        outputs_.sendTo(from, ConfigurationContent{document.version, document.hash, document.text});
}

void ControlService::handle(const InstanceId& from, const ConfigurationContent& content)
{
    const bool adopted = keeper_.adoptIfNewer({content.version, content.hash, content.document});
    if (!adopted && content.version > keeper_.currentDocument().version)
        logChannel.warning("Configuration {} from instance {} was rejected because it does not match its hash.",
            content.version, from);
}

void ControlService::handle(const InstanceId& from, const EnsureArtifact& request)
{
    duty_.spawn([this, from, request] {
        const absl::Status status
            = placement_.ensureLoaded(request.target, request.artifact, currentTime() + ensureTimeout);
        outputs_.sendTo(from, EnsureResult{request.call, std::string(messageOf(status))});
    });
}

void ControlService::handle(const InstanceId&, const EnsureResult& result)
{
    const auto pending = pendingLoadRequests_.find(result.call);
    if (pending == pendingLoadRequests_.end())
        return;
    pending->second->failure = result.reason;
    pending->second->answered.notify();
}

void ControlService::handle(const InstanceId&, const DemandMessage& message)
{
    placement_.setDemand(message.instance, message.demand);
}

void ControlService::handle(const InstanceId& from, const GrantReleaseMessage& message)
{
    const absl::StatusOr<GrantRelease> release = decodeGrantRelease(message.release);
    if (release.ok())
        placement_.acceptGrant(message.target, *release);
    else
        logChannel.warning(
            "A malformed grant release from instance {} was ignored: {}.", from, messageOf(release.status()));
}

absl::Status ControlService::ensureLoaded(const TargetId& target, const ArtifactId& artifact, TimePoint deadline)
{
    const InstanceId owner = placement_.ownerOf(target);
    if (owner == options_.instance)
        return placement_.ensureLoaded(target, artifact, deadline);
    if (owner.empty())
        return makeError(CoordinationError::NotOwner, fmt::format("target {} has no owner", target));
    const std::uint64_t call = nextLoadRequest_++;
    auto pending = std::make_shared<PendingLoadRequest>();
    pendingLoadRequests_[call] = pending;
    outputs_.sendTo(owner, EnsureArtifact{call, target, artifact});
    pending->answered.waitUntil(duty_.timers(), deadline);
    pendingLoadRequests_.erase(call);
    if (!pending->failure.has_value())
        return makeError(CoordinationError::OutcomeUnknown,
            fmt::format("owner {} did not confirm the load before the deadline", owner));
    if (!pending->failure->empty())
        return makeError(CoordinationError::NotOwner, *pending->failure);
    return absl::OkStatus();
}

SubmitResult ControlService::submit(const std::string& answers, ConfigurationVersion base)
{
    const AnswersResult parsed = Answers::parse(answers);
    SubmitResult result;
    result.errors = parsed.errors;
    if (!parsed.ok()) {
        result.status = parsed.status();
        return result;
    }
    result.version = base.next();
    const Configuration next = generateConfiguration(*parsed.answers, result.version);
    const TimePoint deadline = currentTime() + submitTimeout;
    result.status = keeper_.submit(base, result.version, encodeConfiguration(next), deadline);
    if (result.status.ok() || errorOf<CoordinationError>(result.status) != CoordinationError::VersionStale)
        return result;
    // The operator is shown the version that was accepted instead.
    keeper_.poll(deadline).IgnoreError();
    result.version = keeper_.currentDocument().version;
    result.difference = difference(next, *configuration_);
    return result;
}

} // namespace lychee
