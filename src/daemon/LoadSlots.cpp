#include "daemon/LoadSlots.h"

#include "protocol/Digest.h"
#include "protocol/JsonText.h"
#include "transport/Log.h"

#include <charconv>

namespace lychee {

namespace {

constexpr LogChannel logChannel("load-slots");

constexpr Duration tableTimeout = std::chrono::seconds(1);

// Time for which the holder of a slot must be missing from the members before the slot is taken over. An instance that
// has just started does not know the other members yet.
constexpr Duration takeOverDelay = std::chrono::seconds(2);

std::optional<LoadSlot> parseSlot(const std::string& key)
{
    std::uint32_t number = 0;
    const auto result = std::from_chars(key.data(), key.data() + key.size(), number);
    if (result.ec != std::errc() || result.ptr != key.data() + key.size())
        return std::nullopt;
    return LoadSlot(number);
}

} // namespace

LoadSlots::LoadSlots(Duty& duty, LoadSlotsOptions options, PlatformGateway& platform)
    : duty_(duty)
    , options_(std::move(options))
    , platform_(platform)
    , pacer_(pacerOptions())
{
}

LoadPacerOptions LoadSlots::pacerOptions() const
{
    LoadPacerOptions options;
    options.self = options_.instance;
    options.dataCentre = options_.dataCentre;
    options.dataCentres = dataCentres_;
    options.limits = {limits_.modelLoadsPerSecond, limits_.modelLoadsAtOnce, limits_.adapterLoadsAtOnce};
    return options;
}

void LoadSlots::start()
{
    duty_.spawn([this] {
        while (!duty_.isStopping()) {
            refresh();
            sleepFor(options_.interval);
        }
    });
}

void LoadSlots::adopt(const Configuration& configuration)
{
    std::vector<DataCentreId> dataCentres;
    dataCentres.reserve(configuration.dataCentres.size());
    for (const DataCentre& dataCentre : configuration.dataCentres)
        dataCentres.push_back(dataCentre.id);
    if (configuration.store == limits_ && dataCentres == dataCentres_)
        return;
    limits_ = configuration.store;
    dataCentres_ = std::move(dataCentres);
    const std::vector<LoadSlot> held = pacer_.heldSlots();
    pacer_ = LoadPacer(pacerOptions());
    for (const LoadSlot slot : held)
        pacer_.addSlot(slot, currentTime());
    // Loads in progress also count towards the new limits.
    for (const std::set<PacedLoad>* loads : {&started_, &inherited_}) {
        for (const PacedLoad& load : *loads)
            pacer_.addInheritedLoad(load, currentTime());
    }
}

LoadAllowance LoadSlots::allowance() const
{
    LoadAllowance allowance;
    allowance.models = pacer_.startableModelLoads(currentTime());
    allowance.adapters = pacer_.startableAdapterLoads(currentTime());
    for (const PacedLoad& load : started_) {
        if (!unresolved_.contains(load))
            ++(isAdapter(load.artifact) ? allowance.adapters : allowance.models);
    }
    return allowance;
}

bool LoadSlots::start(const PacedLoad& load)
{
    if (started_.contains(load))
        return true;
    if (!pacer_.start(load, currentTime()))
        return false;
    started_.insert(load);
    return true;
}

void LoadSlots::finish(const PacedLoad& load)
{
    started_.erase(load);
    inherited_.erase(load);
    unresolved_.erase(load);
    pacer_.finish(load);
}

void LoadSlots::reconcile(const std::set<PacedLoad>& unresolved, const std::set<PacedLoad>& listed)
{
    std::set<PacedLoad> ended;
    for (const std::set<PacedLoad>* loads : {&started_, &inherited_}) {
        for (const PacedLoad& load : *loads) {
            if (!unresolved.contains(load) && !listed.contains(load))
                ended.insert(load);
        }
    }
    for (const PacedLoad& load : ended)
        finish(load);
    for (const PacedLoad& load : unresolved) {
        if (!started_.contains(load) && inherited_.insert(load).second)
            pacer_.addInheritedLoad(load, currentTime());
    }
    unresolved_ = unresolved;
}

void LoadSlots::refresh()
{
    const std::optional<std::map<LoadSlot, SlotRow>> rows = readRows();
    if (!rows.has_value())
        return;
    dropLost(*rows);
    const std::vector<LoadSlot> wanted = leaving_ ? std::vector<LoadSlot>{} : pacer_.wantedSlots(liveMembers());
    releaseUnwanted(wanted, *rows);
    const std::vector<LoadSlot> held = pacer_.heldSlots();
    for (const LoadSlot slot : wanted) {
        if (std::find(held.begin(), held.end(), slot) != held.end())
            continue;
        const auto found = rows->find(slot);
        acquire(slot, found == rows->end() ? SlotRow{} : found->second);
    }
}

std::optional<std::map<LoadSlot, LoadSlots::SlotRow>> LoadSlots::readRows()
{
    const absl::StatusOr<std::vector<NamedRow>> listed
        = platform_.list(std::string(loadSlotsTable), "", currentTime() + tableTimeout);
    if (!listed.ok())
        return std::nullopt;
    std::map<LoadSlot, SlotRow> rows;
    for (const NamedRow& named : *listed) {
        const std::optional<LoadSlot> slot = parseSlot(named.key.key);
        if (!slot.has_value())
            continue;
        const absl::StatusOr<LoadSlotRow> row = decodeLoadSlotRow(writeJson(named.row.value));
        if (row.ok())
            rows[*slot] = {named.row.version, *row};
        else
            logChannel.error("The row of load slot {} is malformed: {}.", *slot, messageOf(row.status()));
    }
    return rows;
}

void LoadSlots::dropLost(const std::map<LoadSlot, SlotRow>& rows)
{
    for (const LoadSlot slot : pacer_.heldSlots()) {
        const auto found = rows.find(slot);
        if (found != rows.end() && found->second.row.holder == options_.instance)
            continue;
        logChannel.warning("Lost load slot {}: its row does not name this instance as its holder.", slot);
        pacer_.removeSlot(slot);
        acquireNonces_.erase(slot);
    }
}

// Releases slots that other instances should hold. A slot is kept while the loads in progress need it, because its next
// holder would exceed the limit with loads of its own.
void LoadSlots::releaseUnwanted(const std::vector<LoadSlot>& wanted, const std::map<LoadSlot, SlotRow>& rows)
{
    std::vector<LoadSlot> releasable;
    for (const auto& [slot, found] : rows) {
        if (found.row.holder == options_.instance && std::find(wanted.begin(), wanted.end(), slot) == wanted.end())
            releasable.push_back(slot);
    }
    for (const LoadSlot slot : releasable) {
        const std::size_t held = pacer_.heldSlots().size();
        const bool needed = pacer_.modelLoadsInProgress(currentTime()) >= held
            || pacer_.adapterLoadsInProgress(currentTime()) + pacer_.adapterLoadsPerSlot()
                > held * pacer_.adapterLoadsPerSlot();
        if (held > 0 && needed)
            continue;
        pacer_.removeSlot(slot);
        acquireNonces_.erase(slot);
        if (write(slot, rows.at(slot).version, {InstanceId(), Nonce(randomHex128())}) == WriteOutcome::Committed)
            logChannel.info("Released load slot {}.", slot);
    }
}

void LoadSlots::acquire(LoadSlot slot, const SlotRow& found)
{
    const InstanceId& holder = found.row.holder;
    if (holder == options_.instance) {
        // The earlier write took effect, but its answer was lost.
        const auto nonce = acquireNonces_.find(slot);
        if (nonce != acquireNonces_.end() && nonce->second == found.row.nonce) {
            pacer_.addSlot(slot, currentTime());
            return;
        }
    } else if (!holder.empty() && !mayTakeOver(slot, holder)) {
        return;
    }
    const Nonce nonce(randomHex128());
    acquireNonces_[slot] = nonce;
    if (write(slot, found.version, {options_.instance, nonce}) != WriteOutcome::Committed)
        return;
    pacer_.addSlot(slot, currentTime());
    logChannel.info("Acquired load slot {}.", slot);
}

bool LoadSlots::mayTakeOver(LoadSlot slot, const InstanceId& holder)
{
    const bool isMember = std::any_of(members_.begin(), members_.end(),
        [&](const MemberRecord& member) { return member.id == holder && member.state != MemberState::Dead; });
    if (isMember) {
        holderMissingSince_.erase(slot);
        return false;
    }
    const auto [missing, isNew] = holderMissingSince_.try_emplace(slot, holder, currentTime());
    if (missing->second.first != holder)
        missing->second = {holder, currentTime()};
    return currentTime() - missing->second.second >= takeOverDelay;
}

std::vector<InstanceId> LoadSlots::liveMembers() const
{
    std::vector<InstanceId> live;
    for (const MemberRecord& member : members_) {
        const bool isServing = member.state == MemberState::Live || member.state == MemberState::Suspected;
        if (member.dataCentre == options_.dataCentre && isServing)
            live.push_back(member.id);
    }
    return live;
}

// A write with an unknown outcome is resolved by the next read of the table.
WriteOutcome LoadSlots::write(LoadSlot slot, RowVersion expected, const LoadSlotRow& row)
{
    const RowKey key{std::string(loadSlotsTable), std::to_string(slot.value())};
    const nlohmann::json value = nlohmann::json::parse(encodeLoadSlotRow(row), nullptr, false);
    return platform_.transact(TableTransaction::compareAndSet(key, expected, value), currentTime() + tableTimeout)
        .outcome;
}

} // namespace lychee
