"""Command `tamarack lab demo`."""

import asyncio
import pathlib
import sys
import tempfile

import click

from tamarack_lab.demo import scenario
from tamarack_lab.demo import summary
from tamarack_lab.deployment import deployment as deployments
from tamarack_lab.deployment import plan as plans
from tamarack_lab.deployment import port_allocator as port_allocators

EXIT_BROKEN = 1
TIMEOUT_S = 58.0
_PLANS = {plan.name: plan for plan in (plans.ASOCIACION, plans.GLOCKENTON)}


@click.command()
@click.option(
    "--only",
    type=click.Choice(sorted(_PLANS)),
    multiple=True,
    help="Deployment to run; may be repeated. Default: all.",
)
@click.option(
    "--seed",
    default=1,
    show_default=True,
    help="Seed of the random generators.",
)
@click.option(
    "--folder",
    type=click.Path(path_type=pathlib.Path),
    help="Folder for settings and logs. Default: a temporary folder.",
)
def demo(only: tuple[str, ...], seed: int, folder: pathlib.Path | None) -> None:
    """Runs two deployments on loopback with a kill, a drain and a patch.

    Example: tamarack lab demo --only asociacion
    """
    selected = [_PLANS[name] for name in only or _PLANS]
    with tempfile.TemporaryDirectory(prefix="tamarack-demo-") as temporary:
        base = folder or pathlib.Path(temporary)
        try:
            outcomes = asyncio.run(_run(selected, base, seed))
        except (deployments.DeploymentError, TimeoutError) as error:
            click.echo(f"the demo failed: {error or 'timed out'}", err=True)
            sys.exit(EXIT_BROKEN)
    for outcome in outcomes:
        click.echo("\n" + summary.render(outcome))
    problems = [p for outcome in outcomes for p in outcome.problems()]
    for problem in problems:
        click.echo(f"BROKEN  {problem}", err=True)
    if problems:
        sys.exit(EXIT_BROKEN)
    click.echo("\nno violations found")


async def _run(
    selected: list[plans.DeploymentPlan], base: pathlib.Path, seed: int
) -> list[summary.Outcome]:
    """Runs the demonstrations concurrently.

    Raises:
        DeploymentError: A demonstration failed; raised after all have ended.
        TimeoutError: The demonstrations took longer than `TIMEOUT_S`.
    """
    demos = []
    ports = port_allocators.PortAllocator()
    for plan in selected:
        folder = base / plan.name
        folder.mkdir(parents=True, exist_ok=True)
        demos.append(scenario.Demo(plan, folder, seed, ports, click.echo))
    async with asyncio.timeout(TIMEOUT_S):
        results = await asyncio.gather(
            *(demo.run() for demo in demos), return_exceptions=True
        )
    outcomes = []
    for result in results:
        if isinstance(result, BaseException):
            raise result
        outcomes.append(result)
    return outcomes
