// Admission requests and tickets of queues whose policy admits only some workers.

#include "dragonflysill/jobs/scheduler.h"

#include "schedulerconstants.h"

#include <algorithm>
#include <utility>

namespace dragonflysill {

namespace internal {

/** Settings of a job that needs tickets although neither its queue nor its record says so. */
constexpr WorkerAdmissionSettings defaultAdmission{0ms, 0ms, 1000ms};

} // namespace internal

void Scheduler::setAdmissionQueues(std::map<std::string, WorkerAdmissionSettings> queues,
                                   std::set<std::string> others)
{
    m_admissionQueues = {queues.begin(), queues.end()};
    m_queuesWithoutAdmission = std::move(others);
}

const WorkerAdmissionSettings *Scheduler::admissionSettings(const JobRun &job) const
{
    const auto it = m_admissionQueues.find(job.job().queue);
    if (it != m_admissionQueues.end())
        return &it->second;
    const auto &accepted = job.job().policy.workerAdmission;
    if (accepted && !m_queuesWithoutAdmission.contains(job.job().queue))
        return &*accepted;
    return job.ticketsRequired ? &internal::defaultAdmission : nullptr;
}

void Scheduler::requestAdmission(const JobRun &job, int occurrence, int step, TimePoint now)
{
    const AdmissionTable::StepKey key{job.job().id, occurrence, step};
    if (!m_admissions.mayRequest(key, now))
        return;
    const auto &spec = job.job().spec.steps[static_cast<std::size_t>(step)];
    const int waiting
            = job.occurrences().at(occurrence).steps[static_cast<std::size_t>(step)].waiting;
    std::vector<const WorkerState *> candidates;
    int admitted = 0;
    for (const auto *it : m_pools[job.job().pool]) {
        if (!it->usable(now) || !it->free().covers(spec.reserved())
            || !it->description.hasLabel(spec.requiredLabel))
            continue;
        const auto &id = it->description.id;
        admitted += static_cast<int>(!m_admissions.ticket(key, id, it->startedMs, now).empty());
        if (m_admissions.needsRequest(key, id, it->startedMs, now))
            candidates.push_back(it);
    }
    const auto wanted = static_cast<std::size_t>(
            std::clamp(internal::admissionWorkersPerTask * waiting, internal::minAdmissionWorkers,
                       internal::maxAdmissionWorkers));
    if (candidates.empty() || admitted >= waiting)
        return;
    std::ranges::sort(candidates, {}, [](const WorkerState *it) {
        return std::pair(it->reserved.milliCores, it->description.id);
    });
    RequestAdmission question{job.job().id, occurrence, step, {}};
    for (const auto *it : candidates) {
        if (question.workers.size() < wanted)
            question.workers.push_back(it->description.id);
    }
    m_admissions.requestSent(key);
    m_actions.emplace_back(std::move(question));
}

void Scheduler::admissionAnswered(const RequestAdmission &question,
                                  const std::map<std::string, std::string> &tickets, TimePoint now)
{
    const AdmissionTable::StepKey key{question.job, question.occurrence, question.step};
    const auto *job = find(question.job);
    const auto *policy = job == nullptr ? nullptr : admissionSettings(*job);
    if (policy == nullptr)
        return;
    for (const auto &id : question.workers) {
        const auto *it = worker(id);
        if (it == nullptr)
            continue;
        const auto ticket = tickets.find(id);
        m_admissions.setAdmission(key, id, it->startedMs,
                                  ticket == tickets.end() ? std::string() : ticket->second,
                                  now + policy->validity - internal::ticketMargin);
    }
    m_admissions.requestAnswered(key);
}

void Scheduler::admissionUnanswered(const RequestAdmission &question, TimePoint now)
{
    m_admissions.requestUnanswered({question.job, question.occurrence, question.step},
                                   now + internal::admissionRetryDelay);
}

} // namespace dragonflysill
