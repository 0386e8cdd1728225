// What the troubles of a run did, and what became of the whole answers of workers.
#pragma once

#include "tests/soak/Promises.h"

namespace lychee::test {

// Answers of one form that workers wrote to their end.
struct WholeAnswers {
    std::size_t count = 0;
    // The caller's instance ran all the while, and the caller got no complete answer, or the request ran again.
    std::size_t doubted = 0;
    // The same with no trouble beside them but harmless ones.
    std::vector<std::string> doubtedInCalm;
};

// Sums over runs. A trouble that has had no effect is seen in its figures.
class Effects {
public:
    void add(const RunRecord& run);

    // One line for each figure.
    std::string text() const;

private:
    struct Trials {
        std::size_t troubles = 0;
        std::size_t withEffect = 0;
    };

    void addAnswers(const RunRecord& run);
    void addStarts(const RunRecord& run);
    void addPartings(const RunRecord& run);

    // By form: plain or stream, delimited or not.
    std::map<std::string, WholeAnswers> answers_;
    // Starts of a worker that cut an answer.
    Trials starts_;
    std::size_t cutAnswers_ = 0;
    std::size_t cutUndelimited_ = 0;
    // Partings during which the instance found itself detached, by the form of the parting.
    std::map<LinkFault, Trials> partings_;
    // Ends of another instance through which connections of a parted one led.
    Trials carriers_;
    // Calls that began during a parting, at parted instances and at the others.
    std::size_t partedCalls_ = 0;
    std::size_t partedServed_ = 0;
    std::size_t otherCalls_ = 0;
    std::size_t otherServed_ = 0;
};

} // namespace lychee::test
