"""Commands that change what is in force: publish and rollback."""

from pathlib import Path

import attrs
from returns.result import Failure, Result, Success

from sassafrasloft.configuration import settings_key
from sassafrasloft.configuration.document_changes import read_header
from sassafrasloft.configuration.publish import Edit, PublishOutcome, publish
from sassafrasloft.errors import (
    ConfigurationConflict,
    PlatformUnavailable,
    SassafrasloftError,
)
from sassafrasloft.operators.changes import render_changes, site_changes
from sassafrasloft.operators.commands import (
    CallPlatform,
    Context,
    ExitCode,
    register_command,
)
from sassafrasloft.operators.service_files import (
    Errors,
    ServiceFiles,
    keep_document,
    kept_revisions,
    service_of_document,
)
from sassafrasloft.settings import check_document, read_source, render_document

RETRY_DELAY_MS = 500
"""Before each further try; an outage outlasts all of them and is reported."""


@register_command("publish")
def publish_files(context: Context, operands: list[str]) -> ExitCode:
    """Publish these files, if nobody published since they were fetched."""
    result = context.read_service()
    if isinstance(result, Failure):
        return context.report(result.failure())
    base = _edited_document(context)
    if isinstance(base, Failure):
        return context.report(base.failure())
    service = result.unwrap()
    return _Publishing(context, context.platform(service), service).run(base.unwrap())


def _edited_document(context: Context) -> Result[str, Errors]:
    """Return the document that the files were edited from; empty if none is kept."""
    kept = kept_revisions(context.options.directory)
    if not kept:
        return Success("")
    return read_source(list(kept.values())[-1]).map(lambda source: source.text)


@register_command("rollback", "REVISION|FILE", least=1, most=1)
def rollback(context: Context, operands: list[str]) -> ExitCode:
    """Publish an old document again, as a new revision.

    REVISION is one of those kept in .published, FILE any document. base.yaml and
    the overlays stay as they are; `diff` shows how they differ afterwards.
    """
    kept = kept_revisions(context.options.directory)
    source = read_source(kept.get(_number(operands[0])) or Path(operands[0]))
    if isinstance(source, Failure):
        listed = ", ".join(map(str, kept)) or "none"
        context.note(f"Revisions kept in this directory: {listed}.")
        return context.report(source.failure())
    old = service_of_document(source.unwrap().text)
    if isinstance(old, Failure):
        return context.report(old.failure())
    service = old.unwrap()
    call = context.platform(service)
    stored = context.read_published(call, service.settings.service)
    if isinstance(stored, Failure):
        return context.report(stored.failure())
    return _Publishing(context, call, service).run(stored.unwrap().value)


def _number(text: str) -> int:
    return int(text) if text.isascii() and text.isdigit() and len(text) < 16 else 0


@attrs.define
class _Publishing:
    """Publishes the settings of a service on top of a document."""

    _context: Context
    _call: CallPlatform
    _service: ServiceFiles
    _rendered: dict[int, str] = attrs.field(factory=dict, init=False)

    def run(self, base_text: str) -> ExitCode:
        """Publish and report; `base_text` is the document that was edited."""
        head = read_header(base_text)
        if isinstance(head, Failure):
            return self._context.report((head.failure(),))
        edit_id = self._context.fresh_edit_id()
        problems = check_document(self._render(1, (), edit_id))
        if isinstance(problems, Failure):
            return self._context.report(problems.failure())
        if self._is_in_effect():
            return ExitCode.DONE
        self._show("your edit:", base_text)
        edit = Edit(
            key=settings_key(self._service.settings.service),
            base_revision=head.unwrap().revision,
            edit_id=edit_id,
            render=lambda revision, recent: self._render(revision, recent, edit_id),
            base_text=base_text,
        )
        result = publish(self._call, edit, self._wait)
        if isinstance(result, Success):
            return self._published(result.unwrap(), edit_id)
        return self._failed(result.failure(), base_text, edit_id)

    def _render(self, revision: int, recent: tuple[str, ...], edit_id: str) -> str:
        text = render_document(
            revision,
            edit_id,
            self._context.author(),
            self._service.base,
            recent,
            self._service.overlays,
        )
        self._rendered[revision] = text
        return text

    def _wait(self, attempt: int) -> None:
        self._context.note(f"no answer from the platform; try {attempt + 1}")
        self._context.sleep(RETRY_DELAY_MS * attempt)

    def _stored(self) -> tuple[str, ServiceFiles | None]:
        """Return the published document; empty if it cannot be read."""
        name = self._service.settings.service
        stored = self._context.read_published(self._call, name)
        text = stored.map(lambda value: value.value).value_or("")
        return text, service_of_document(text).value_or(None) if text else None

    def _is_in_effect(self) -> bool:
        """Return whether the published settings are the same as these.

        This also settles an earlier publication whose outcome stayed open.
        """
        text, service = self._stored()
        if service is None or service.sites != self._service.sites:
            return False
        revision = read_header(text).unwrap().revision
        self._context.say(f"in effect already, as revision {revision}")
        self._keep(revision, text)
        return True

    def _published(self, outcome: PublishOutcome, edit_id: str) -> ExitCode:
        if outcome.superseded:
            self._context.say(
                f"published as revision {outcome.revision}; a newer revision is in "
                "force by now: run `sassafrasloft-admin fetch`"
            )
            return ExitCode.DONE
        text = self._rendered.get(outcome.revision, "")
        if outcome.read_back:
            text, service = self._stored()
            if service is not None and service.sites != self._service.sites:
                self._context.note(
                    f"edit id {edit_id} was published before with other settings. "
                    "These are not published: repeat without --edit_id."
                )
                return ExitCode.CONFLICT
        self._context.say(f"published as revision {outcome.revision}")
        if text:
            self._keep(outcome.revision, text)
        return ExitCode.DONE

    def _keep(self, revision: int, text: str) -> None:
        problem = keep_document(self._context.options.directory, revision, text)
        if problem:
            self._context.note(
                f"The settings are in effect, but {problem}. Run `fetch` before the "
                "next publication."
            )

    def _failed(
        self, error: SassafrasloftError, base_text: str, edit_id: str
    ) -> ExitCode:
        code = self._context.report((error,))
        if isinstance(error, ConfigurationConflict):
            text, service = self._stored()
            if service is not None:
                revision = read_header(text).unwrap().revision
                self._show_theirs(revision, base_text, service)
            self._context.note(
                "Run `sassafrasloft-admin fetch`, take their edit over into your "
                "files, and publish again."
            )
        elif isinstance(error, PlatformUnavailable):
            self._context.note(f"To repeat it, add --edit_id={edit_id}.")
        return code

    def _show_theirs(
        self, revision: int, base_text: str, service: ServiceFiles
    ) -> None:
        if base_text:
            self._show(f"their edit (revision {revision}):", base_text, service)
            return
        changes = site_changes(service.sites, self._service.sites)
        self._context.say(f"your files against revision {revision}:")
        self._context.say(render_changes(changes).rstrip())

    def _show(
        self, title: str, base_text: str, service: ServiceFiles | None = None
    ) -> None:
        base = service_of_document(base_text).value_or(None) if base_text else None
        if base is None:
            self._context.say(f"{title} all settings; no earlier revision is known")
            return
        changes = site_changes(base.sites, (service or self._service).sites)
        self._context.say(f"{title}\n{render_changes(changes).rstrip()}")
