#include "dragonflysill/contracts/acceptance.h"
#include "dragonflysill/links/outcome.h"
#include "dragonflysill/links/pooldispatcher.h"
#include "dragonflysill/links/routetable.h"
#include "dragonflysill/zones/view.h"
#include "machines/fleetharness.h"
#include "support/goldenfile.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <sstream>

using namespace dragonflysill;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seed = 5;

/** The way from a ticket to a caller's answer with the decisions of all libraries; fake clock. */
class PathSession
{
public:
    PathSession()
        : m_fleet(1)
        , m_desk(m_fleet.store, m_fence, {"e1", [this] { return m_fleet.nowMs; }, [](int) {}})
    {
        m_fleet.step();
        const auto key = storekeys::join(storekeys::members, "e1");
        m_fence.set(key, m_fleet.store.range({key, {}})->keyValues.front().createRevision);
    }

    void apply(const std::string &ticket)
    {
        const auto outcome = m_desk.accept(ticket, 0);
        if (const auto *accepted = std::get_if<AcceptedTicket>(&outcome))
            m_text << "ticket " << accepted->number << " accepted\n";
        else
            m_text << "ticket refused: " << outcomeToJson(outcome).dump() << "\n";
    }

    /** Runs fleet passes until nothing changes, then installs the view. */
    void settle()
    {
        const int passes = m_fleet.settle(60);
        const auto range = m_fleet.store.range(
                {std::string(storekeys::root), storekeys::rangeEnd(storekeys::root)});
        std::vector<KeyUpdate> updates;
        for (const auto &it : range->keyValues)
            updates.push_back({it.key, it.value, it.modRevision, false});
        const auto view = m_builder.replace(updates, range->revision);
        BOOST_REQUIRE(view.ok());
        m_routes.emplace(*view);
        m_text << "settled after " << passes << " passes, view of ticket "
               << (*view)->configuration.ticket << "\n";
    }

    void request(const std::string &path, AttemptResult result)
    {
        const RouteMatch match = m_routes->find(path);
        m_text << path << ": ";
        if (!match) {
            m_text << describe(Failure::NoRoute).status << " " << toText(Failure::NoRoute) << "\n";
            return;
        }
        m_text << "service " << match.service->name << ", deadline "
               << match.route->deadline.count() << " ms, "
               << (match.route->repeatable ? "repeatable" : "at most once");
        PoolDispatcher dispatcher({}, BackendPool(LeastLoadedOfTwo(), "sul-a", seed));
        dispatcher.update(
                recordsOf(match.service->pool),
                {match.service->slotsPerInstance, match.service->connectionsPerInstance, 1}, m_now);
        PendingRequest pending;
        pending.key = 1;
        pending.deadline = m_now + match.route->deadline;
        pending.repeatable = match.route->repeatable;
        for (const auto &it : dispatcher.arrive(match.service->name, pending, m_now))
            finish(dispatcher, *match.service, it, result);
    }

    std::string transcript() const { return m_text.str(); }

private:
    std::vector<const InstanceRecord *> recordsOf(const std::string &pool)
    {
        std::vector<const InstanceRecord *> records;
        for (const auto &it : m_routes->view().instances) {
            if (it.second.pool == pool && it.second.phase == InstancePhase::Serving)
                records.push_back(&it.second);
        }
        return records;
    }

    void finish(PoolDispatcher &dispatcher, const Service &service, const DispatchAction &action,
                AttemptResult result)
    {
        if (const auto *rejection = std::get_if<Rejection>(&action)) {
            m_text << ", rejected: " << toText(rejection->failure) << "\n";
            return;
        }
        const Assignment &assignment = std::get<Grant>(action).assignment;
        dispatcher.finish(service.name, assignment, {result, true, 5ms}, m_now);
        m_text << ", sent to " << assignment.name << ", "
               << (result == AttemptResult::Success ? "answered" : "connection lost") << "\n";
    }

    support::FleetHarness m_fleet;
    Fence m_fence;
    TicketProcessor m_desk;
    ViewBuilder m_builder;
    std::optional<RouteTable> m_routes;
    TimePoint m_now{1s};
    std::ostringstream m_text;
};

std::string example(const std::string &name)
{
    std::ifstream file(std::string(DRAGONFLYSILL_SOURCE_DIR) + "/examples/" + name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

BOOST_AUTO_TEST_SUITE(Path)

// Guards against a break between the libraries on the way from a ticket to a caller's answer; the
// dispatcher's seed is 5.
BOOST_AUTO_TEST_CASE(SessionFromTicketToAnswer)
{
    PathSession session;
    session.apply(example("tubo-sul/ticket-0001.json"));
    session.settle();
    session.request("/routes/plan", AttemptResult::Success);
    session.request("/settlements/payments", AttemptResult::Success);
    session.request("/settlements/payments", AttemptResult::Failed);
    session.request("/unknown", AttemptResult::Success);
    session.apply(example("tubo-sul/ticket-0002.json"));
    session.settle();
    for (int n = 0; n < 4; ++n)
        session.request("/settlements/payments", AttemptResult::Success);
    support::checkGolden("path.txt", session.transcript());
}

BOOST_AUTO_TEST_SUITE_END()
