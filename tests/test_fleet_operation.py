"""The fleet-wide limit on the request rate of each client: the rates that a front publishes to its peers."""

from types import SimpleNamespace

from weldbend.fleet.client_limits import MAX_PUBLISHED_CLIENTS, ClientRateLimit


def test_clients_with_equal_rates_are_published_in_a_fixed_order():
    published = []
    context = SimpleNamespace(
        limits=SimpleNamespace(client_rate=1.0),
        fleet=SimpleNamespace(settings=SimpleNamespace(peers=())),
        publish_figure=lambda kind, client, rate: published.append(client),
    )
    limit = ClientRateLimit(context)
    # 40 clients with two requests each, and one with three, which therefore comes first.
    clients = [f"10.0.0.{number}" for number in range(10, 50)]
    limit.requests.update(clients * 2)
    limit.requests["10.0.1.1"] = 3
    limit.tick()
    assert published == ["10.0.1.1", *clients[: MAX_PUBLISHED_CLIENTS - 1]]
