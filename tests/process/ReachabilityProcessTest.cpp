// Tests, with real processes, that models stay reachable when engines are lost.
#include "tests/process/MemoryDeployment.h"

namespace lychee::test {
namespace {

using namespace std::chrono_literals;

// An instance must use the other copy without waiting until the lost engine is detected. A killed engine refuses
// connections; a frozen one would take the inter-byte timeout of 2 s.
constexpr std::chrono::milliseconds immediateLimit = 1500ms;

// Models that are resident twice when the memory is full, which holds 16 copies of 10 models.
constexpr int secondCopies = 6;

// Guards against models that do not answer until the loss of a target is detected although another copy is resident,
// against models that the status wrongly shows as resident, and against memory that is miscounted after the restart of
// an engine.
TEST(Reachability, ALostEngineIsReplacedAndComesBack)
{
    MemoryDeployment memory;
    Deployment& deployment = memory.deployment();
    std::vector<std::string> residentTwice;
    std::vector<std::string> onlyOnLostEngine;
    nlohmann::json before;
    Deployment::await("the memory is used for second copies", [&] {
        before = deployment.status(deployment.instance(0));
        return std::count_if(before["models"].begin(), before["models"].end(), [](const nlohmann::json& model) {
            return model["resident_on"].size() >= 2;
        }) >= secondCopies;
    });
    for (const nlohmann::json& model : before["models"]) {
        if (model["resident_on"].size() >= 2)
            residentTwice.push_back(model["id"]);
        else if (model["resident_on"][0] == "engine-3")
            onlyOnLostEngine.push_back(model["id"]);
    }
    // Load orders are refused, so that a model without a copy stays in that state long enough to be observed.
    for (std::size_t i = 0; i < 3; ++i)
        deployment.engine(i).postFault(fault(orderPath, "refuse", -1));
    memory.killEngine(3);
    for (const std::string& name : residentTwice) {
        for (std::size_t i = 0; i < deployment.instanceCount(); ++i)
            EXPECT_TRUE(answersCorrectly(deployment.instance(i), name, immediateLimit))
                << name << " has another copy, at " << deployment.instance(i).id;
    }
    Deployment::await(
        "models without a copy are not shown as resident",
        [&] {
            const nlohmann::json status = deployment.status(deployment.instance(0));
            for (const nlohmann::json& model : status["models"]) {
                const bool lost = std::find(onlyOnLostEngine.begin(), onlyOnLostEngine.end(), model["id"])
                    != onlyOnLostEngine.end();
                if (lost && model["state"] == "resident")
                    return false;
            }
            return true;
        },
        recoveryLimit);
    memory.clearFaults();
    memory.awaitRecovery("engine killed");
    deployment.engine(3).restart();
    memory.awaitRecovery("engine restarted");
}

// Guards against a status that shows a model as resident or loading while every engine is down.
TEST(Reachability, StatusShowsWhatIsUnreachable)
{
    DeploymentOptions small = memoryOptions();
    small.dataCentres = 1;
    small.instancesPerDataCentre = 1;
    small.enginesPerDataCentre = 1;
    small.models = 2;
    small.adapters = 1;
    Deployment deployment(LYCHEE_BUILD_DIR, small);
    deployment.configure();
    deployment.engine(0).process().kill();
    Deployment::await(
        "all models and adapters are unreachable",
        [&] {
            const nlohmann::json status = deployment.status(deployment.instance(0));
            for (const char* kind : {"models", "adapters"}) {
                for (const nlohmann::json& item : status[kind]) {
                    if (item["state"] != "unreachable")
                        return false;
                }
            }
            return true;
        },
        recoveryLimit);
    HttpRequest request = Deployment::chat("model-0", "are you there", 3, false);
    request.headers.set(header::patience, "500");
    const auto refused = TestHttpClient(deployment.instance(0).callers, 5000ms).send(request);
    ASSERT_TRUE(refused.ok());
    EXPECT_EQ(refused->status, 503);
    EXPECT_EQ(refused->headers.find(header::run).value_or(""), "no");
    deployment.engine(0).restart();
    Deployment::await(
        "all resident again", [&] { return deployment.isAllResident(deployment.instance(0)); }, recoveryLimit);
}

} // namespace
} // namespace lychee::test
