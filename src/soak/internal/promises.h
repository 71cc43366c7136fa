#pragma once

#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"
#include "http/types/httpresponse.h"
#include "soak/internal/sentrequest.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lavendertally::soak {

/// What must hold whatever happens, checked from what clients and backend servers see.
class Promises
{
public:
    /// Times of the users' platform.
    static constexpr framework::Milliseconds RevocationLimit{5000};
    static constexpr framework::Milliseconds DrainLimit{2000};
    static constexpr framework::Milliseconds ZoneLimit{5000};
    static constexpr framework::Milliseconds ConfigurationLimit{2000};
    static constexpr framework::Milliseconds RequestTimeout{3000};
    /// Longest time for the end of an answer after the request's time is over.
    static constexpr framework::Milliseconds AnswerTolerance{500};
    /// A machine counts as calm again so long after something was done to it.
    static constexpr framework::Milliseconds CalmAfter{3000};

    /// Tells since when nothing was done to a gateway, its links or the store.
    using CalmSince = std::function<framework::TimePoint(std::size_t gateway)>;
    /// Tells when a gateway was killed or paused last.
    using BrokenAt = std::function<framework::TimePoint(std::size_t gateway)>;

    Promises(CalmSince calmSince, BrokenAt brokenAt);

    /// \param what one line of the report
    void violated(const std::string &what);
    const std::vector<std::string> &violations() const { return m_violations; }

    void sent(const std::string &id, const SentRequest &request);
    void ended(const std::string &id, const http::HttpResponse &response, framework::TimePoint now);
    void ran(const std::string &id, const std::string &team, const std::string &server,
             framework::TimePoint now);

    void keyRevoked(const std::string &team, framework::TimePoint now);
    void serverLeft(const std::string &server, framework::TimePoint now);
    void zoneOut(const std::set<std::string> &servers, framework::TimePoint now);
    void zoneBack();
    void routeAdded(framework::TimePoint now);
    /// A backend server, or the way to one, fails from now on.
    void serversDisturbed(framework::TimePoint now) { m_serversDisturbed = now; }

    /// Checks what can be said only at the end.
    /// \param quietSince start of the time in which nothing was done any more
    void finish(framework::TimePoint quietSince);

    std::size_t requests() const { return m_requests.size(); }
    std::size_t served() const;

private:
    bool isCalm(std::size_t gateway, framework::TimePoint since) const;
    bool wasBroken(const SentRequest &request) const;
    void checkWhole(const std::string &id, const SentRequest &request,
                    const http::HttpResponse &response);
    void checkDenied(const std::string &id, const SentRequest &request,
                     const http::HttpResponse &response);
    void checkLost(const std::string &id, const SentRequest &request,
                   const http::HttpResponse &response, framework::TimePoint now);

    CalmSince m_calmSince;
    BrokenAt m_brokenAt;
    std::map<std::string, SentRequest> m_requests;
    std::map<std::string, framework::TimePoint> m_revoked;
    std::map<std::string, framework::TimePoint> m_left;
    std::set<std::string> m_serversOut;
    framework::TimePoint m_outSince;
    framework::TimePoint m_routeAddedAt = framework::TimePoint::never();
    framework::TimePoint m_serversDisturbed;
    std::vector<std::string> m_violations;
};

} // namespace lavendertally::soak
