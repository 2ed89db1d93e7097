#include "consolehandler.h"

#include "configurationapi.h"
#include "consolepages.h"
#include "http/headers.h"
#include "http/target.h"
#include "statusapi.h"

#include <array>
#include <charconv>

namespace Console {

namespace {

constexpr std::string_view bearerPrefix = "Bearer ";
constexpr std::string_view cookieName = "gq_session=";
constexpr std::int64_t sessionLifetimeSeconds = std::int64_t { 8 } * 3600;
constexpr unsigned statusUnauthorized = 401;
constexpr unsigned statusForbidden = 403;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusMethodNotAllowed = 405;

Http::Response errorResponse(unsigned status, std::string_view step, std::string_view error)
{
    return Http::jsonResponse(status,
        "{\"error\":\"" + std::string(error) + "\",\"step\":\"" + std::string(step) + "\",\"peer\":\"\"}");
}

Http::Response redirect(const std::string& location)
{
    return { 303, { { "Location", location } }, {} };
}

std::string sessionCookie(const Http::Request& request)
{
    const std::string_view cookies = Http::findHeader(request.headers, "Cookie").value_or("");
    const std::size_t start = cookies.find(cookieName);
    if (start == std::string_view::npos)
        return {};
    const std::string_view value = cookies.substr(start + cookieName.size());
    return std::string(value.substr(0, value.find(';')));
}

// Returns false if a page of another origin sent the request. Browsers send the origin of the page with each
// POST; other clients may omit it.
bool isSameOrigin(const Http::Request& request)
{
    const auto origin = Http::findHeader(request.headers, "Origin");
    if (!origin)
        return true;
    const std::string host(Http::findHeader(request.headers, "Host").value_or(""));
    return *origin == "http://" + host || *origin == "https://" + host;
}

std::uint64_t parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

} // namespace

struct ConsoleHandler::Private {
    using ApiFunction = Http::Response (Private::*)(const Http::Request&) const;
    using PostFunction = Http::Response (ConsolePages::*)(const FormData&, const std::string&) const;

    struct ApiRoute {
        std::string_view method;
        std::string_view path;
        ApiFunction function;
    };

    struct PostRoute {
        std::string_view path;
        PostFunction function;
    };

    Private(ConsoleSources consoleSources, OperatorToken operatorToken)
        : sources(std::move(consoleSources))
        , token(std::move(operatorToken))
        , api(sources)
        , pages(sources)
    {
    }

    Http::Response getConfiguration(const Http::Request&) const { return api.get(); }
    Http::Response putConfiguration(const Http::Request& request) const { return api.put(request); }
    Http::Response getHistory(const Http::Request& request) const { return api.history(request); }
    Http::Response getMembers(const Http::Request&) const { return membersResponse(sources); }
    Http::Response getBurn(const Http::Request& request) const
    {
        return burnResponse(sources, Http::parseTarget(request.target).value("format"));
    }

    Http::Response handleApi(const Http::Request& request, const std::string& path) const;
    Http::Response handleGet(const Http::Target& target, const std::string& session) const;
    Http::Response handlePost(
        const Http::Request& request, const std::string& path, const std::string& session) const;
    Http::Response signIn(const Http::Request& request) const;
    bool isAuthorized(const Http::Request& request) const;

    static constexpr std::array<ApiRoute, 5> apiRoutes {
        { { "GET", "/v1/configuration", &Private::getConfiguration },
            { "PUT", "/v1/configuration", &Private::putConfiguration },
            { "GET", "/v1/configuration/history", &Private::getHistory },
            { "GET", "/v1/members", &Private::getMembers }, { "GET", "/v1/burn", &Private::getBurn } }
    };
    static constexpr std::array<PostRoute, 3> postRoutes { { { "/edit", &ConsolePages::edit },
        { "/preview", &ConsolePages::preview }, { "/accept", &ConsolePages::accept } } };

    ConsoleSources sources;
    OperatorToken token;
    ConfigurationApi api;
    ConsolePages pages;
};

bool ConsoleHandler::Private::isAuthorized(const Http::Request& request) const
{
    const std::string_view header = Http::findHeader(request.headers, "Authorization").value_or("");
    return header.starts_with(bearerPrefix) && token.matches(header.substr(bearerPrefix.size()));
}

Http::Response ConsoleHandler::Private::handleApi(const Http::Request& request, const std::string& path) const
{
    if (!isAuthorized(request)) {
        Http::Response response = errorResponse(statusUnauthorized, "authorize", "refused");
        response.headers.push_back({ "WWW-Authenticate", "Bearer" });
        return response;
    }
    bool isKnownPath = false;
    for (const ApiRoute& route : apiRoutes) {
        if (route.path != path)
            continue;
        isKnownPath = true;
        if (route.method == request.method)
            return (this->*route.function)(request);
    }
    return errorResponse(isKnownPath ? statusMethodNotAllowed : statusNotFound, "route", "not-found");
}

Http::Response ConsoleHandler::Private::signIn(const Http::Request& request) const
{
    if (!isSameOrigin(request) || !token.matches(fieldValue(parseFormData(request.body), "token")))
        return ConsolePages::login(true);
    const std::string session = token.makeSession(currentUnixMs() / 1000 + sessionLifetimeSeconds);
    Http::Response response = redirect("/");
    response.headers.push_back(
        { "Set-Cookie", std::string(cookieName) + session + "; HttpOnly; SameSite=Strict; Path=/" });
    return response;
}

Http::Response ConsoleHandler::Private::handleGet(
    const Http::Target& target, const std::string& session) const
{
    if (target.path == "/")
        return pages.policy(token.formToken(session));
    if (target.path == "/history" && !target.value("revision").empty())
        return pages.revision(parseNumber(target.value("revision")));
    if (target.path == "/history")
        return pages.history(parseNumber(target.value("before")));
    if (target.path == "/members")
        return pages.members();
    if (target.path == "/burn")
        return pages.burn();
    // These pages are only shown in response to a submitted form, so a GET request is redirected.
    return target.path == "/login" || target.path == "/preview" || target.path == "/edit"
        ? redirect("/")
        : errorResponse(statusNotFound, "route", "not-found");
}

Http::Response ConsoleHandler::Private::handlePost(
    const Http::Request& request, const std::string& path, const std::string& session) const
{
    const FormData form = parseFormData(request.body);
    if (!isSameOrigin(request) || !token.isFormToken(session, fieldValue(form, "form_token")))
        return errorResponse(statusForbidden, "form.check", "refused");
    for (const PostRoute& route : postRoutes) {
        if (route.path == path)
            return (pages.*route.function)(form, token.formToken(session));
    }
    return errorResponse(statusNotFound, "route", "not-found");
}

ConsoleHandler::ConsoleHandler(ConsoleSources sources, OperatorToken token)
    : d_(std::make_unique<Private>(std::move(sources), std::move(token)))
{
}

ConsoleHandler::~ConsoleHandler() = default;

Http::Response ConsoleHandler::handle(const Http::Request& request)
{
    const Http::Target target = Http::parseTarget(request.target);
    if (target.path.starts_with("/v1/"))
        return d_->handleApi(request, target.path);
    if (request.method == "POST" && target.path == "/login")
        return d_->signIn(request);
    const std::string session = sessionCookie(request);
    Http::Response response;
    if (!d_->token.isSession(session, currentUnixMs() / 1000))
        response = ConsolePages::login(false);
    else if (request.method == "GET")
        response = d_->handleGet(target, session);
    else if (request.method == "POST")
        response = d_->handlePost(request, target.path, session);
    else
        response = errorResponse(statusMethodNotAllowed, "route", "refused");
    response.headers.push_back({ "Cache-Control", "no-store" });
    response.headers.push_back({ "X-Frame-Options", "DENY" });
    response.headers.push_back({ "Content-Security-Policy",
        "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; frame-ancestors 'none'" });
    return response;
}

} // namespace Console
