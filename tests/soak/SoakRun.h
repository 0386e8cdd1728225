// One run of the soak: real processes, callers, and the troubles of one seed.
#pragma once

#include "tests/soak/Callers.h"
#include "tests/soak/Promises.h"

#include <set>

namespace lychee::test {

struct SoakOptions {
    std::filesystem::path buildDirectory;
    std::uint64_t seed = 1;
    Millis length{12000};
    int instances = 3;
    std::size_t callers = 16;
};

class SoakRun {
public:
    explicit SoakRun(SoakOptions options);

    // Plays the run. Throws std::runtime_error when the processes cannot be set up.
    RunRecord play();

    // The logs of all instances, for a run that broke a promise.
    std::string logs();

private:
    struct Step {
        Trouble* trouble = nullptr;
        bool begins = true;
    };

    void playTroubles();
    bool canBegin(const Trouble& trouble) const;
    bool canEnd(const Trouble& trouble);
    bool holdsUpStart(const Trouble& trouble) const;
    void changeConfigurations();
    void writeConfiguration(int version, const std::vector<std::string>& prefixes);
    void restoreStore();
    void postToStore(const std::string& target);
    void replaceKey(const Trouble& trouble, int version, const std::vector<std::string>& prefixes);
    void apply(const Trouble& trouble);
    void lift(const Trouble& trouble);
    void launchInstance(std::size_t index);
    void terminateInstance(std::size_t index);
    void stopInstance(std::size_t index);
    void pauseAnswers(const Trouble& trouble);
    void refuseRequests(const Trouble& trouble);
    void endAnswersWithConnection(const Trouble& trouble, bool broken);
    // Records an instance that has ended by itself.
    void checkRunning(std::size_t instance);
    void awaitRecovery();
    bool servesEverything(std::size_t instance);
    void readWorkers();
    Standin& workerOf(const Trouble& trouble) { return deployment_.worker(workers_[trouble.subject]); }

    SoakOptions options_;
    RunFeatures features_;
    KeyRing keys_;
    GatewayDeployment deployment_;
    std::vector<std::string> workers_;
    RunClock clock_;
    RunRecord record_;
    // When each instance was last started.
    std::vector<Millis> launchedAt_;
    // Until when each instance that was stopped has to end.
    std::vector<Millis> stopLimits_;
    std::set<const Trouble*> active_;
    // Guards `written_` and the store while its configuration is written.
    std::mutex configurationMutex_;
    // The newest configuration that the store has taken.
    std::pair<int, std::vector<std::string>> written_{1, {"/stream/", "/safe/", "/unsafe/"}};
    std::unique_ptr<Callers> callers_;
    int recoveryCalls_ = 0;
};

} // namespace lychee::test
