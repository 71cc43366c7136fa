#include "soak/internal/promises.h"

#include "http/headerlookup.h"
#include "standins/platformserverstandin.h"

#include <algorithm>
#include <utility>

namespace lavendertally::soak {

namespace {

constexpr int HttpOk = 200;
constexpr int HttpUnauthorized = 401;
constexpr int HttpForbidden = 403;
constexpr int HttpNotFound = 404;

/// Least part of the requests of the quiet time that must be served.
constexpr double QuietServed = 0.9;

/// \return whether a status promises that the request has not run and never will
bool promisesNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

Promises::Promises(CalmSince calmSince, BrokenAt brokenAt)
    : m_calmSince(std::move(calmSince)), m_brokenAt(std::move(brokenAt))
{ }

void Promises::violated(const std::string &what)
{
    m_violations.push_back(what);
}

void Promises::sent(const std::string &id, const SentRequest &request)
{
    m_requests[id] = request;
}

bool Promises::isCalm(std::size_t gateway, framework::TimePoint since) const
{
    const framework::TimePoint calm = m_calmSince(gateway);
    return calm != framework::TimePoint::never() && calm + CalmAfter <= since;
}

bool Promises::wasBroken(const SentRequest &request) const
{
    return m_brokenAt(request.gateway) + CalmAfter >= request.sent;
}

void Promises::ran(const std::string &id, const std::string &team, const std::string &server,
                   framework::TimePoint now)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end()) {
        violated(id + ": a request that nobody sent runs on " + server);
        return;
    }
    SentRequest &request = found->second;
    ++request.runs;
    if (request.kind == RequestKind::Booking && request.runs > 1) {
        violated(id + ": a booking runs again on " + server);
    }
    if (team != request.team) {
        violated(id + ": runs for the team '" + team + "' instead of " + request.team);
    }
    const auto revoked = m_revoked.find(request.team);
    if (revoked != m_revoked.end() && request.sent > revoked->second + RevocationLimit) {
        violated(id + ": runs with a key that was revoked");
    }
    const auto left = m_left.find(server);
    const bool wasHeldUp = m_serversDisturbed + CalmAfter >= now;
    if (left != m_left.end() && now > left->second + DrainLimit && !wasHeldUp
        && isCalm(request.gateway, left->second)) {
        violated(id + ": reaches " + server + " " + std::to_string((now - left->second).value())
                 + " ms after it left");
    }
    if (m_serversOut.contains(server) && now > m_outSince + ZoneLimit && !wasHeldUp
        && isCalm(request.gateway, m_outSince)) {
        violated(id + ": reaches " + server + " in a zone that is out");
    }
}

void Promises::ended(const std::string &id, const http::HttpResponse &response,
                     framework::TimePoint now)
{
    SentRequest &request = m_requests.at(id);
    request.ended = true;
    const bool whole = response.end == http::HttpEnd::Complete;
    request.status = whole ? response.status : 0;
    if (whole && response.status == HttpOk) {
        checkWhole(id, request, response);
    } else if (whole) {
        checkDenied(id, request, response);
    } else {
        checkLost(id, request, response, now);
    }
    const framework::Milliseconds took = now - request.sent;
    if (took > RequestTimeout + AnswerTolerance && !http::isUnsent(response.end)
        && !wasBroken(request)) {
        violated(id + ": no end after " + std::to_string(took.value()) + " ms");
    }
}

void Promises::checkWhole(const std::string &id, const SentRequest &request,
                          const http::HttpResponse &response)
{
    const auto signature = http::findHeader(response.headers, "X-Lavendertally-Response-Signature");
    const bool streams = request.kind == RequestKind::Stream;
    const bool isBody = streams ? response.body == standins::PlatformServerStandIn::wholeStream()
                                : response.body.ends_with(" ran " + id);
    if (!isBody || signature != "s-" + id) {
        violated(id + ": answered with the wrong content: " + response.body);
    }
    if (request.runs == 0) {
        violated(id + ": answered without having run");
    }
}

void Promises::checkDenied(const std::string &id, const SentRequest &request,
                           const http::HttpResponse &response)
{
    const int status = response.status;
    const bool isNew = request.kind == RequestKind::Added;
    const bool addedLongAgo = m_routeAddedAt < request.sent - ConfigurationLimit
        && isCalm(request.gateway, m_routeAddedAt);
    const bool wrongRoute = status == HttpNotFound && (!isNew || addedLongAgo);
    const bool wrongKey = (status == HttpUnauthorized || status == HttpForbidden)
        && !m_revoked.contains(request.team);
    if (wrongRoute || wrongKey) {
        violated(id + ": a proper request is denied with " + std::to_string(status));
    }
}

void Promises::checkLost(const std::string &id, const SentRequest &request,
                         const http::HttpResponse &response, framework::TimePoint now)
{
    const bool cut = response.end == http::HttpEnd::Broken
        || response.end == http::HttpEnd::RejectedAfterSend
        || response.end == http::HttpEnd::Malformed;
    const bool serverMayHaveBroken =
        request.kind == RequestKind::Stream && m_serversDisturbed + CalmAfter >= request.sent;
    // A request may cross the close of an idle connection.
    constexpr framework::Milliseconds Crossing{200};
    const bool wasTaken = request.runs > 0 || now - request.sent > Crossing;
    if (cut && wasTaken && !serverMayHaveBroken && !wasBroken(request)) {
        violated(id + ": cut off after " + std::to_string((now - request.sent).value()) + " ms, "
                 + std::to_string(request.runs) + " runs");
    }
}

void Promises::keyRevoked(const std::string &team, framework::TimePoint now)
{
    m_revoked.try_emplace(team, now);
}

void Promises::serverLeft(const std::string &server, framework::TimePoint now)
{
    m_left[server] = now;
}

void Promises::zoneOut(const std::set<std::string> &servers, framework::TimePoint now)
{
    m_serversOut = servers;
    m_outSince = now;
}

void Promises::zoneBack()
{
    m_serversOut.clear();
}

void Promises::routeAdded(framework::TimePoint now)
{
    m_routeAddedAt = std::min(m_routeAddedAt, now);
}

void Promises::finish(framework::TimePoint quietSince)
{
    std::size_t quiet = 0;
    std::size_t servedQuietly = 0;
    for (const auto &[id, request] : m_requests) {
        if (request.kind == RequestKind::Booking && promisesNotRun(request.status)
            && request.runs > 0) {
            violated(id + ": refused with " + std::to_string(request.status) + " but has run");
        }
        if (request.sent >= quietSince && request.ended && !m_revoked.contains(request.team)) {
            ++quiet;
            servedQuietly += request.status == HttpOk ? 1 : 0;
        }
    }
    if (quiet == 0
        || static_cast<double>(servedQuietly) < QuietServed * static_cast<double>(quiet)) {
        violated("after the faults only " + std::to_string(servedQuietly) + " of "
                 + std::to_string(quiet) + " requests were served");
    }
}

std::size_t Promises::served() const
{
    return static_cast<std::size_t>(
        std::count_if(m_requests.begin(), m_requests.end(),
                      [](const auto &entry) { return entry.second.status == HttpOk; }));
}

} // namespace lavendertally::soak
