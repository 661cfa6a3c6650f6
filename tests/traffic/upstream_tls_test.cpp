#include "traffic/upstream/connection_pool.h"

#include <array>
#include <criterion/criterion.h>
#include <cstdio>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>
#include <thread>
#include <unistd.h>

namespace {

using namespace samphireway;

struct certificate {
    EVP_PKEY* key = EVP_RSA_gen(2048);
    X509* subject = X509_new();
    std::string file = "/tmp/samphireway-tls-" + std::to_string(getpid()) + ".pem";
};

/** Creates a self-signed certificate for one IP address and writes it to a file. */
certificate make_certificate(const std::string& address)
{
    constexpr long one_hour = 3600;
    certificate made;
    X509_set_version(made.subject, 2);
    X509_gmtime_adj(X509_getm_notBefore(made.subject), -one_hour);
    X509_gmtime_adj(X509_getm_notAfter(made.subject), one_hour);
    X509_set_pubkey(made.subject, made.key);
    X509_NAME* name = X509_get_subject_name(made.subject);
    X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC, reinterpret_cast<const unsigned char*>("upstream"),
                               -1, -1, 0);
    X509_set_issuer_name(made.subject, name);
    const std::string alternative = "IP:" + address;
    X509_EXTENSION* extension =
        X509V3_EXT_conf_nid(nullptr, nullptr, NID_subject_alt_name, alternative.c_str());
    X509_add_ext(made.subject, extension, -1);
    X509_EXTENSION_free(extension);
    X509_sign(made.subject, made.key, EVP_sha256());
    std::FILE* file = std::fopen(made.file.c_str(), "w");
    PEM_write_X509(file, made.subject);
    std::fclose(file);
    return made;
}

bool answers(const traffic::connection_options& options, int port)
{
    traffic::connection_pool connections(options);
    const auto client = connections.take({.address = "127.0.0.1", .port = port, .uses_tls = true});
    const httplib::Result result = client->Get("/");
    return result && result->status == 200;
}

/**
    Serves a certificate and returns whether clients accept it that verify it with the certificate as
    authority, verify it with the system's authorities, and do not verify it.
*/
std::array<bool, 3> try_certificate(const std::string& address)
{
    const certificate made = make_certificate(address);
    httplib::SSLServer server(made.subject, made.key);
    server.Get("/", [](const httplib::Request&, httplib::Response& response) {
        response.set_content("ok", "text/plain");
    });
    const int port = server.bind_to_any_port("127.0.0.1");
    std::thread thread([&server] { server.listen_after_bind(); });
    const std::array<bool, 3> accepted{answers({.tls_ca_file = made.file}, port), answers({}, port),
                                       answers({.verifies_certificates = false}, port)};
    server.stop();
    thread.join();
    std::remove(made.file.c_str());
    X509_free(made.subject);
    EVP_PKEY_free(made.key);
    return accepted;
}

} // namespace

// Guards against sending requests to an upstream whose certificate no known authority has signed.
Test(upstream_tls, verifies_the_authority)
{
    const std::array<bool, 3> accepted = try_certificate("127.0.0.1");
    cr_assert(accepted[0], "known authority");
    cr_assert(!accepted[1], "unknown authority");
    cr_assert(accepted[2], "verification switched off");
}

// Guards against accepting another machine's certificate.
Test(upstream_tls, verifies_the_address)
{
    const std::array<bool, 3> accepted = try_certificate("10.9.8.7");
    cr_assert(!accepted[0], "certificate of another address");
}
