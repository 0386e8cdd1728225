// Stand-in for a worker of the platform: a plain service, or a model engine that serves streams and takes orders.
#pragma once

#include "Record.h"
#include "Store.h"

#include <atomic>

namespace review {

struct WorkerOptions {
    std::string name;
    std::string service;
    std::string zone;
    int slots = 8;
    // Models held at the start; a plain worker has none.
    std::set<std::string> models;
    int events = 13;
    milliseconds eventPause{20};
    milliseconds loadTime{800};
    // How long a plain worker works on a request.
    milliseconds workTime{0};
    // A request with this body, or with this path and query, ends the worker: a plain one at once, an engine after it
    // has made `eventsBeforeCrash` events. Empty for none.
    std::string crashingBody;
    std::string crashingTarget;
    // A part of the prompt, as ID:TOKENS, that does the same.
    std::string crashingPart;
    int eventsBeforeCrash = 0;
    milliseconds downTime{3000};
    // A stream is preempted once after this many events and read anew, which takes `pause`; 0 for never.
    int eventsBeforePause = 0;
    milliseconds pause{0};
    // Whether a run ends when its connection is closed. Most workers drop such a request, some do not.
    bool dropsClosedRequests = true;
};

// Registers itself in the store every 1.2 s, as long as it runs. Writes each run and each crash to the record.
class Worker {
public:
    Worker(Store& store, Record& record, WorkerOptions options);
    ~Worker();

    void start();

    int crashes() const { return crashes_; }

private:
    void open();
    std::string id();
    void handle(const Request& request, Exchange& exchange);
    void serve(const Request& request, Exchange& exchange);
    // Ends the worker as a crash does, and starts it again after the down time.
    void crash(const std::string& attempt);
    std::pair<int, std::string> order(const std::string& body);
    std::string state();
    void completeLoad();
    void beat();

    Store& store_;
    Record& record_;
    const WorkerOptions options_;
    std::unique_ptr<HttpServer> server_;
    std::uint16_t port_ = 0;
    std::atomic<bool> running_{false};
    std::atomic<bool> ending_{false};
    std::atomic<int> crashes_{0};
    std::atomic<int> active_{0};
    std::mutex mutex_;
    std::string id_;
    std::int64_t born_ = 0;
    std::uint64_t sequence_ = 0;
    std::map<std::string, std::set<std::string>> held_;
    // Models whose weights are on the disk, which a restart preserves.
    std::set<std::string> onDisk_;
    std::string loading_;
    Clock::time_point loadedAt_;
    std::thread beats_;
    std::thread restart_;
};

} // namespace review
